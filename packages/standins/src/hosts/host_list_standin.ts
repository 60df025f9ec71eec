/** Stand-in for the platform's host list, with delayed visibility of changes. */
import type {ListedHost} from '@azurecrank/core';
import {StandinServer, parseJson} from '../http/standin_server.js';

export class HostListStandin extends StandinServer {
  private readonly hosts = new Map<string, ListedHost>();

  /** @param lagMs delay until a change becomes visible, in milliseconds. */
  constructor(private readonly lagMs = 0) {
    super();
    this.route('GET', '/hosts', async () => ({
      status: 200,
      body: {hosts: [...this.hosts.values()]},
    }));
    this.route('PUT', '/hosts', async request => {
      this.putHost(parseJson<ListedHost>(request));
      return {status: 204};
    });
    this.route('DELETE', '/hosts/:host', async ({params}) => {
      setTimeout(() => this.hosts.delete(params.host), this.lagMs).unref();
      return {status: 204};
    });
  }

  putHost(host: ListedHost): void {
    setTimeout(() => this.hosts.set(host.host, host), this.lagMs).unref();
  }
}
