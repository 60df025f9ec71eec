/** Client of the platform's host list, which is updated with a delay. */
import {request} from 'undici';
import type {HostId} from '../ids/ids.js';

export interface ListedHost {
  readonly host: HostId;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving';
}

export class HostListError extends Error {
  readonly step = 'list hosts';

  constructor(
    readonly peer: string,
    cause: string,
  ) {
    super(`host list ${peer}: ${cause}`);
    this.name = 'HostListError';
  }
}

export abstract class HostList {
  /** @throws HostListError if the platform does not answer. */
  abstract list(): Promise<ListedHost[]>;
}

const REQUEST_TIMEOUT_MS = 2000;

/** HTTP client of the host list, with JSON bodies. */
export class HttpHostList extends HostList {
  constructor(private readonly baseUrl: string) {
    super();
  }

  override async list(): Promise<ListedHost[]> {
    try {
      const response = await request(`${this.baseUrl}/hosts`, {
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      const body = (await response.body.json()) as {hosts: ListedHost[]};
      return body.hosts;
    } catch (error) {
      throw new HostListError(this.baseUrl, String(error));
    }
  }
}
