/** Stand-in for an HTTP service that counts how often each call is executed. */
import {StandinServer, delay} from '../http/standin_server.js';

export class PlainServiceStandin extends StandinServer {
  /** Number of executions by the caller's reference (header `x-reference`). */
  readonly executionCounts = new Map<string, number>();

  /** @param callMs duration of each call, in milliseconds. */
  constructor(private readonly callMs = 1) {
    super();
    this.route('GET', '/effects', async () => ({
      status: 200,
      body: Object.fromEntries(this.executionCounts),
    }));
    for (const method of ['GET', 'POST', 'PUT', 'DELETE']) {
      this.route(method, '/*', async request => {
        const reference = String(request.headers['x-reference'] ?? '');
        const count = (this.executionCounts.get(reference) ?? 0) + 1;
        this.executionCounts.set(reference, count);
        await delay(this.callMs);
        const {path} = request;
        return {status: 200, body: {path, method, reference, count}};
      });
    }
  }
}
