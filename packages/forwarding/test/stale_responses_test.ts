/**
 * Servers that write a response once more, or other bytes, on a connection
 * that is reused.
 */
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  HttpUpstream,
  type CallKind,
  type UpstreamFailure,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {CallHarness} from './call_harness.js';
import {
  RawServer,
  RedirectingUpstream,
  rawResponse,
  waitUntil,
  type RawRequest,
} from './raw_server.js';
import {HeaderWire, RelayHarness} from './relay_harness.js';

type Outcome =
  | {readonly kind: 'ended'; readonly status: number; readonly body: string}
  | ({readonly kind: 'failed'} & UpstreamFailure);

const answerTo = ({id}: RawRequest) =>
  rawResponse(200, [`request-id: ${id}`], `answer to ${id}`);

describe('stale responses', () => {
  let server: RawServer;
  let second: RawServer;
  let upstream: HttpUpstream;

  beforeEach(async () => {
    server = await new RawServer().start();
    second = await new RawServer().start();
    upstream = new HttpUpstream();
  });

  afterEach(() => {
    upstream[Symbol.dispose]();
    server[Symbol.dispose]();
    second[Symbol.dispose]();
  });

  function send(id: string, isSingleUse = false): Promise<Outcome> {
    let status = 0;
    let body = '';
    return new Promise(resolve => {
      upstream.send(
        {
          address: server.address,
          method: 'GET',
          target: '/desk/1',
          headers: ['request-id', id],
          body: undefined,
          isSingleUse,
        },
        {
          onHead: code => (status = code),
          onData: chunk => (body += chunk.toString()),
          onEnd: () => resolve({kind: 'ended', status, body}),
          onFailure: failure => resolve({kind: 'failed', ...failure}),
        },
      );
    });
  }

  // Guards against bytes after a response that are taken for the next one.
  describe('that arrive before the next request', () => {
    const extras = {
      'another refusal': rawResponse(503, ['not-run: 1']),
      'another complete response': rawResponse(200, [], 'old'),
      'the begin of a response': 'HTTP/1.1 503 ',
      'bytes that are no response': 'xyz',
    };
    for (const [name, extra] of Object.entries(extras)) {
      it(`do not answer it (${name}, same packet)`, async () => {
        server.onRequest = (socket, request) => {
          const isFirst = request.id === 'r1';
          socket.write(answerTo(request) + (isFirst ? extra : ''));
        };
        await send('r1');
        const outcome = await send('r2');
        const body = 'answer to r2';
        expect(outcome).toEqual({kind: 'ended', status: 200, body});
        expect(server.requests[1].connection).toEqual(1);
      });

      it(`do not answer it (${name}, idle connection)`, async () => {
        server.onRequest = (socket, request) => {
          socket.write(answerTo(request));
        };
        await send('r1');
        const [socket] = server.sockets;
        socket.write(extra);
        await waitUntil('connection closed', () => socket.destroyed);
        const outcome = await send('r2');
        const body = 'answer to r2';
        expect(outcome).toEqual({kind: 'ended', status: 200, body});
      });

      it(`do not answer it (${name}, waiting request)`, async () => {
        server.onRequest = (socket, request) => {
          const isFirst = request.id === 'r1';
          socket.write(answerTo(request) + (isFirst ? extra : ''));
        };
        const outcomes = await Promise.all([send('r1'), send('r2')]);
        const ended = (body: string) =>
          ({kind: 'ended', status: 200, body}) as const;
        expect(outcomes).toEqual([
          ended('answer to r1'),
          ended('answer to r2'),
        ]);
      });
    }
  });

  // Guards against promising that a request has not run because a server
  // repeated an earlier refusal while it ran.
  describe('that arrive after the next request', () => {
    const statuses = [408, 421, 429, 503];
    const ids = {
      'id of the earlier request': ['request-id: r1'],
      'no id': [],
    };
    for (const status of statuses) {
      for (const [name, idHeaders] of Object.entries(ids)) {
        const stale = rawResponse(status, ['not-run: 1', ...idHeaders]);

        /** The servers keep connections after `r1`; the stale answer follows. */
        const relayCall = async (kind: CallKind) => {
          const harness = new CallHarness([server], upstream, new HeaderWire());
          server.onRequest = (socket, request) => {
            socket.write(request.id === 'r1' ? answerTo(request) : stale);
          };
          await harness.call('idempotent', 'r1');
          return harness.call(kind, 'r2');
        };

        it(`leave open whether a call has run (${status}, ${name})`, async () => {
          const res = await relayCall('idempotent');
          expect(server.requests.map(({connection}) => connection)).toEqual([
            0, 0,
          ]);
          expect(res.statusCode).toEqual(502);
        });

        it(`leave open whether a stream has run (${status}, ${name})`, async () => {
          using redirecting = new RedirectingUpstream(server.address);
          server.onRequest = socket => void socket.write(stale);
          const harness = new RelayHarness(
            {isResumable: false},
            [],
            undefined,
            {
              upstream: redirecting,
              wire: new HeaderWire(),
              request: 'r2',
            },
          );
          const {res} = harness;
          await waitUntil('stream ended', () => res.writableFinished);
          expect(res.statusCode).toEqual(502);
          expect(server.requests.length).toEqual(1);
        });
      }
    }

    it('are not delivered as the answer to a call', async () => {
      for (const stale of [
        rawResponse(200, ['request-id: r1'], 'old'),
        rawResponse(200, [], 'old'),
      ]) {
        const harness = new CallHarness([server], upstream, new HeaderWire());
        server.onRequest = (socket, request) => {
          socket.write(request.id === 'r1' ? answerTo(request) : stale);
        };
        await harness.call('idempotent', 'r1');
        const res = await harness.call('idempotent', 'r2');
        expect(res.statusCode).toEqual(502);
        expect(res.body).not.toEqual(expect.includes('old'));
      }
    });

    it('do not reach a call that may run only once', async () => {
      const harness = new CallHarness([server], upstream, new HeaderWire());
      server.onRequest = (socket, request) => {
        socket.write(answerTo(request));
      };
      await harness.call('idempotent', 'r1');
      const res = await harness.call('non_idempotent', 'r2');
      expect(res.body).toEqual('answer to r2');
      expect(server.requests[1].connection).toEqual(1);
    });
  });

  // Guards against a stream that runs twice because its own refusal is
  // repeated after it was sent to the same server again.
  it('use a new connection if the server got the request before', async () => {
    const harness = new RelayHarness({isResumable: false});
    const {sent} = harness.upstream;
    for (let answered = 0; answered < sent.length; answered++) {
      sent[answered].handlers.onHead(503, ['not-run']);
      sent[answered].handlers.onEnd();
      await harness.advance(300);
    }
    const requests = sent.map(({request}) => request);
    const repeated = requests.filter(({address}, i) =>
      requests.slice(0, i).some(earlier => earlier.address === address),
    );
    expect(repeated.length).toBeGreaterThan(0);
    expect(repeated.every(({isSingleUse}) => isSingleUse)).toEqual(true);
    expect(requests[0].isSingleUse).toEqual(false);
  });

  // Guards against passing on a refusal that its server did not confirm.
  describe('refusals without a statement that nothing has run', () => {
    for (const status of [408, 429, 503]) {
      it(`leave the outcome of a call open (${status})`, async () => {
        const harness = new CallHarness([server], upstream, new HeaderWire());
        server.onRequest = (socket, {id}) => {
          socket.write(rawResponse(status, [`request-id: ${id}`], 'full'));
        };
        const res = await harness.call('non_idempotent', 'r1');
        expect(res.statusCode).toEqual(502);
      });

      it(`leave the outcome of a stream open (${status})`, async () => {
        using redirecting = new RedirectingUpstream(server.address);
        server.onRequest = (socket, {id}) => {
          socket.write(rawResponse(status, [`request-id: ${id}`], 'full'));
        };
        const {res} = new RelayHarness({isResumable: false}, [], undefined, {
          upstream: redirecting,
          wire: new HeaderWire(),
          request: 'r1',
        });
        await waitUntil('stream ended', () => res.writableFinished);
        expect(res.statusCode).toEqual(502);
        expect(server.requests.length).toEqual(1);
      });
    }
  });
});
