/** Servers that end a response before it is complete, also within its head. */
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {HttpUpstream} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {CallHarness} from './call_harness.js';
import {
  RawServer,
  RedirectingUpstream,
  rawResponse,
  waitUntil,
} from './raw_server.js';
import {HeaderWire, RelayHarness} from './relay_harness.js';

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const ID_LINE = 'request-id: r2\r\n';
const HEAD = STATUS_LINE + ID_LINE;
const CLOSE_LINE = 'Connection: close\r\n';
const CHUNKED_LINE = 'Transfer-Encoding: chunked\r\n';

/** Incomplete responses to the request `r2`. */
const TRUNCATED: Readonly<Record<string, string>> = {
  'within the status line': 'HTTP/1.1 20',
  'after the status': 'HTTP/1.1 200',
  'after the status line': STATUS_LINE,
  'within the name of a header': `${STATUS_LINE}request-i`,
  'within the value of a header': `${STATUS_LINE}request-id: r2`,
  'within the length': `${HEAD}Content-Length: 1`,
  'before the empty line': `${HEAD}Content-Length: 0\r\n`,
  'before the empty line, with close': HEAD + CLOSE_LINE,
  'within the empty line': `${HEAD}${CLOSE_LINE}\r`,
  'within the head after an interim response': `HTTP/1.1 103 Early Hints\r\n\r\n${HEAD}`,
  'after the head': `${HEAD}Content-Length: 5\r\n\r\n`,
  'after the head, with close': `${HEAD}${CLOSE_LINE}Content-Length: 5\r\n\r\n`,
  'within the body': `${HEAD}Content-Length: 50\r\n\r\nid: 1\ndata: x\n\n`,
  'within the body, with close': `${HEAD}${CLOSE_LINE}Content-Length: 50\r\n\r\nid: 1\ndata: x\n\n`,
  'before the first chunk': `${HEAD}${CHUNKED_LINE}\r\n`,
  'before the first chunk, with close': `${HEAD}${CLOSE_LINE}${CHUNKED_LINE}\r\n`,
  'within a chunk size': `${HEAD}${CHUNKED_LINE}\r\nf\r\nid: 1\ndata: x\n\n\r\n1`,
  'within a chunk size, with close': `${HEAD}${CLOSE_LINE}${CHUNKED_LINE}\r\nf\r\nid: 1\ndata: x\n\n\r\n1`,
  'after the size of the last chunk': `${HEAD}${CLOSE_LINE}${CHUNKED_LINE}\r\nf\r\nid: 1\ndata: x\n\n\r\n0`,
  'before the trailer ends': `${HEAD}${CLOSE_LINE}${CHUNKED_LINE}\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n`,
  'within a chunk': `${HEAD}${CHUNKED_LINE}\r\n20\r\nid: 1\ndata: x\n\n`,
};

/** How the connection ends after the bytes. */
const ENDINGS: Readonly<
  Record<string, (socket: Socket, bytes: string) => void>
> = {
  'orderly close': (socket, bytes) => void socket.end(bytes),
  'later close': (socket, bytes) =>
    void socket.write(bytes, () => setTimeout(() => socket.end(), 15)),
  reset: (socket, bytes) =>
    void socket.write(bytes, () => socket.resetAndDestroy()),
  'later reset': (socket, bytes) =>
    void socket.write(bytes, () =>
      setTimeout(() => socket.resetAndDestroy(), 15),
    ),
};

// Guards against a success that is framed as whole although its server ended
// the response early.
describe('truncated responses', () => {
  let server: RawServer;
  let upstream: HttpUpstream;

  beforeEach(async () => {
    server = await new RawServer().start();
    upstream = new HttpUpstream();
  });

  afterEach(() => {
    upstream[Symbol.dispose]();
    server[Symbol.dispose]();
  });

  describe('without a length', () => {
    const bytes = 'HTTP/1.1 200 OK\r\nrequest-id: r2\r\n\r\nhalf';

    it('are whole if their server goes on', async () => {
      const harness = new CallHarness([server], upstream, new HeaderWire());
      server.onRequest = socket => void socket.end(bytes);
      const res = await harness.call('non_idempotent', 'r2');
      expect([res.statusCode, res.body]).toEqual([200, 'half']);
    });

    // Guards against an answer that breaks off with its server and reaches the
    // caller as a success.
    it('are no answer to a call if their server has ended', async () => {
      const harness = new CallHarness([server], upstream, new HeaderWire());
      harness.hasServerEnded = true;
      server.onRequest = socket => void socket.end(bytes);
      const res = await harness.call('non_idempotent', 'r2');
      expect(res.statusCode).toEqual(502);
      expect(server.requests.length).toEqual(1);
    });
  });

  for (const [ending, end] of Object.entries(ENDINGS)) {
    describe(ending, () => {
      for (const [where, bytes] of Object.entries(TRUNCATED)) {
        it(`${where}: are no answer to a call on a new connection`, async () => {
          const harness = new CallHarness([server], upstream, new HeaderWire());
          server.onRequest = socket => end(socket, bytes);
          const res = await harness.call('non_idempotent', 'r2');
          expect(res.statusCode).toEqual(502);
          expect(server.requests.length).toEqual(1);
        });

        it(`${where}: are no answer to a call on a kept connection`, async () => {
          const harness = new CallHarness([server], upstream, new HeaderWire());
          server.onRequest = (socket, {id}) => {
            if (id === 'r2') return end(socket, bytes);
            socket.write(rawResponse(200, [`request-id: ${id}`], 'whole'));
          };
          const first = await harness.call('idempotent', 'r1');
          expect(first.body).toEqual('whole');
          const res = await harness.call('idempotent', 'r2');
          expect(server.requests[1].connection).toEqual(0);
          expect(res.statusCode).toEqual(502);
        });

        it(`${where}: do not complete a stream`, async () => {
          using redirecting = new RedirectingUpstream(server.address);
          server.onRequest = socket => end(socket, bytes);
          const {res} = new RelayHarness({isResumable: false}, [], undefined, {
            upstream: redirecting,
            wire: new HeaderWire(),
            request: 'r2',
          });
          await waitUntil(
            'stream ended',
            () => res.destroyed || res.writableFinished,
          );
          const isWhole = res.writableFinished && res.statusCode === 200;
          expect(isWhole).toEqual(false);
          expect(server.requests.length).toEqual(1);
        });
      }
    });
  }
});
