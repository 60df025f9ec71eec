/** Stand-in for an HTTP service that counts how often each call is executed. */
import {StandinServer, delay} from '../http/standin_server.js';

export class PlainServiceStandin extends StandinServer {
  /** Number of executions by the caller's reference (header `x-reference`). */
  readonly effects = new Map<string, number>();

  /** @param callMs duration of each call, in milliseconds. */
  constructor(private readonly callMs = 1) {
    super();
    this.route('GET', '/effects', async () => ({
      status: 200,
      body: Object.fromEntries(this.effects),
    }));
    for (const method of ['GET', 'POST', 'PUT', 'DELETE']) {
      this.route(method, '/*', async request => {
        const reference = String(request.headers['x-reference'] ?? '');
        const count = (this.effects.get(reference) ?? 0) + 1;
        this.effects.set(reference, count);
        await delay(this.callMs);
        const {path} = request;
        return {status: 200, body: {path, method, reference, count}};
      });
    }
  }
}
