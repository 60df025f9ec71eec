/** The platform's list of hosts; it lags behind what really happens. */
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
  /** Throws `HostListError` when the platform does not answer. */
  abstract list(): Promise<ListedHost[]>;
}

const TIMEOUT_MS = 2000;

/** Host list over HTTP with JSON bodies. */
export class HttpHostList extends HostList {
  constructor(private readonly baseUrl: string) {
    super();
  }

  override async list(): Promise<ListedHost[]> {
    try {
      const response = await request(`${this.baseUrl}/hosts`, {
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const body = (await response.body.json()) as {hosts: ListedHost[]};
      return body.hosts;
    } catch (error) {
      throw new HostListError(this.baseUrl, String(error));
    }
  }
}
