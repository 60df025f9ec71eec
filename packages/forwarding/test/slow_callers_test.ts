/** Responses that end while their exchange is paused for a slow caller. */
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {HttpUpstream} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {RawServer} from './raw_server.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';
const EVENT = 'id: 1\ndata: x\n\n';
const LONG_EVENT = `id: 1\ndata: ${'x'.repeat(300_000)}\n\n`;

/** Time for which the caller does not read after each chunk. */
const PAUSE_MS = 40;

const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  'orderly close': socket => void socket.end(),
  'later close': socket => void setTimeout(() => socket.end(), 15),
  reset: socket => void socket.resetAndDestroy(),
  'later reset': socket => void setTimeout(() => socket.resetAndDestroy(), 15),
};

// Guards against an assertion of the HTTP client that ends the process, and all
// its requests, when a server closes the connection of a slow caller's stream.
describe('responses to slow callers', () => {
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

  /** Pauses after each chunk, and resumes later. */
  function receiveSlowly(): Promise<{isWhole: boolean; body: string}> {
    let body = '';
    return new Promise(resolve => {
      const exchange = upstream.send(
        {
          address: server.address,
          method: 'GET',
          target: '/draft/1',
          headers: [],
          body: undefined,
          isSingleUse: false,
        },
        {
          onHead: () => {},
          onData: chunk => {
            body += chunk.toString();
            exchange.pause();
            setTimeout(() => exchange.resume(), PAUSE_MS);
          },
          onEnd: () => resolve({isWhole: true, body}),
          onFailure: () => resolve({isWhole: false, body}),
        },
      );
    });
  }

  for (const [ending, end] of Object.entries(ENDINGS)) {
    const isReset = ending.includes('reset');
    for (const [size, event] of Object.entries({
      short: EVENT,
      long: LONG_EVENT,
    })) {
      it(`end with their connection (${size}, ${ending})`, async () => {
        server.onRequest = socket => {
          socket.write(`${HEAD}\r\n${event}`, () => end(socket));
        };
        const {isWhole, body} = await receiveSlowly();
        expect(isWhole).toEqual(!isReset);
        if (!isReset) expect(body).toEqual(event);
      });

      it(`fail if they are shorter than their length (${size}, ${ending})`, async () => {
        server.onRequest = socket => {
          const length = `Content-Length: ${event.length + 1}\r\n`;
          socket.write(`${HEAD}${length}\r\n${event}`, () => end(socket));
        };
        const {isWhole} = await receiveSlowly();
        expect(isWhole).toEqual(false);
      });
    }
  }
});
