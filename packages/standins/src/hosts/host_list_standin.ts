/** Stand-in for the platform's host list; changes are shown late. */
import type {ListedHost} from '@azurecrank/core';
import {StandinServer, parseJson} from '../http/standin_server.js';

export class HostListStandin extends StandinServer {
  private readonly hosts = new Map<string, ListedHost>();

  /** @param lagMs time until a change is shown, in milliseconds. */
  constructor(private readonly lagMs = 0) {
    super();
    this.route('GET', '/hosts', async () => ({
      status: 200,
      body: {hosts: [...this.hosts.values()]},
    }));
    this.route('PUT', '/hosts', async request => {
      this.set(parseJson<ListedHost>(request));
      return {status: 204};
    });
    this.route('DELETE', '/hosts/:host', async ({params}) => {
      setTimeout(() => this.hosts.delete(params.host), this.lagMs).unref();
      return {status: 204};
    });
  }

  set(host: ListedHost): void {
    setTimeout(() => this.hosts.set(host.host, host), this.lagMs).unref();
  }
}
