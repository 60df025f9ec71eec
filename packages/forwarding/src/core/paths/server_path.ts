/** A path of a request: servers and the layers that each of them runs. */
import type {BackendServer} from '../fleet/backend_server.js';

export interface PathPart {
  readonly server: BackendServer;
  readonly firstLayer: number;
  readonly endLayer: number;
}

/** Ordered parts without gap or overlap, from layer 0 to the last one. */
export type ServerPath = readonly PathPart[];

/** Returns the text that identifies the path, for comparisons and logs. */
export function describePath(path: ServerPath): string {
  return path
    .map(
      ({server, firstLayer, endLayer}) =>
        `${server.address}=${firstLayer}-${endLayer}`,
    )
    .join(',');
}
