/** The path of a request: its servers in order, with the layers each runs. */
import type {BackendServer} from '../fleet/backend_server.js';

/** A server of a path with the layers that it runs. */
export interface PathStage {
  readonly server: BackendServer;
  readonly firstLayer: number;
  /** One past the last layer. */
  readonly endLayer: number;
}

/** Stages in order, without gap or overlap, from layer 0 to the last layer. */
export type ServerPath = readonly PathStage[];

/**
 * Returns the text form of a path, `ADDRESS=FIRST-END` for each stage, which
 * servers get and logs show.
 */
export function formatPath(path: ServerPath): string {
  return path
    .map(
      ({server, firstLayer, endLayer}) =>
        `${server.address}=${firstLayer}-${endLayer}`,
    )
    .join(',');
}
