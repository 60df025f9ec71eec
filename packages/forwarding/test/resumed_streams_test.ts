/**
 * Streams that have begun and break off, after which the next server answers
 * with an error in some form.
 */
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {RawServer, RedirectingUpstream, rawResponse} from './raw_server.js';
import {HeaderWire, RelayHarness} from './relay_harness.js';

const ID_LINE = 'request-id: r1';
const EVENT_STREAM = 'Content-Type: text/event-stream';
const HTML = 'Content-Type: text/html';
const TEXT = 'HTTP/1.1 500 Internal Server Error\r\nServer: x\r\n\r\nno engine';
const JSON_ERROR = '{"error": "no engine"}\n\n';

function event(id: number): string {
  return `id: ${id}\ndata: t${id}\n\n`;
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function chunkedHead(status: number, headers: readonly string[]): string {
  const lines = [`HTTP/1.1 ${status} Any`, ID_LINE, ...headers];
  return `${lines.join('\r\n')}\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

const LAST_CHUNK = '0\r\n\r\n';
const STREAM_HEAD = chunkedHead(200, [EVENT_STREAM]);

/** Responses of the next server that do not continue the stream. */
const ERRORS: Readonly<Record<string, string>> = {
  '500 with a body': rawResponse(500, [ID_LINE, HTML], 'no engine\n\n'),
  '500 with the type of a stream': rawResponse(
    500,
    [ID_LINE, EVENT_STREAM],
    event(3),
  ),
  '500 in chunks':
    chunkedHead(500, [HTML]) + chunk('no ') + chunk('engine\n\n') + LAST_CHUNK,
  '503 that refuses': rawResponse(503, [ID_LINE, 'not-run: 1'], TEXT),
  '503 without an explanation': rawResponse(503, [ID_LINE], TEXT),
  '400 with a body': rawResponse(400, [ID_LINE], JSON_ERROR),
  '204': rawResponse(204, [ID_LINE, EVENT_STREAM]),
  '200 of another type': rawResponse(200, [ID_LINE, HTML], 'no engine\n\n'),
  '200 of another type without a body': rawResponse(200, [ID_LINE, HTML]),
  '200 without a type': rawResponse(200, [ID_LINE]),
  '200 with an error instead of events': rawResponse(
    200,
    [ID_LINE, EVENT_STREAM],
    JSON_ERROR,
  ),
  '200 with the head of an error':
    STREAM_HEAD + chunk(`${TEXT}\n\n`) + LAST_CHUNK,
  '200 with an error of two parts':
    STREAM_HEAD + chunk('no engine') + chunk('\r\n\r\nat all\n\n') + LAST_CHUNK,
  '200 with an unnumbered event first':
    STREAM_HEAD + chunk('data: no engine\n\n') + LAST_CHUNK,
  '200 with a text without an end':
    STREAM_HEAD + chunk('no engine') + LAST_CHUNK,
  'bytes that are no response': `${TEXT.slice(5)}\r\n\r\n`,
};

// Guards against the text of an error in the middle of a stream, and against
// a stream that ends as complete because its next server failed.
describe('streams that are resumed', () => {
  let server: RawServer;
  let upstream: RedirectingUpstream;

  beforeEach(async () => {
    server = await new RawServer().start();
    upstream = new RedirectingUpstream(server.address);
  });

  afterEach(() => {
    upstream[Symbol.dispose]();
    server[Symbol.dispose]();
  });

  /** Relays a stream to servers that respond in this way, one by one. */
  async function relay(
    respond: (socket: Socket, attempt: number) => void,
  ): Promise<RelayHarness['res']> {
    server.onRequest = socket => respond(socket, server.requests.length);
    const harness = new RelayHarness({maxAttempts: 6}, [], undefined, {
      upstream,
      wire: new HeaderWire(),
      request: 'r1',
    });
    const {res} = harness;
    while (!res.writableFinished && !res.destroyed) {
      await new Promise(resolve => setTimeout(resolve, 4));
      await harness.advance(50);
    }
    return res;
  }

  /** Sends the first events and resets the connection. */
  function breakOff(socket: Socket): void {
    socket.write(STREAM_HEAD + chunk(event(1) + event(2)), () => {
      setTimeout(() => socket.resetAndDestroy(), 5);
    });
  }

  for (const [name, response] of Object.entries(ERRORS)) {
    it(`continue at a third server (${name})`, async () => {
      const res = await relay((socket, attempt) => {
        if (attempt === 1) breakOff(socket);
        else if (attempt === 2) socket.write(response);
        else {
          const rest = chunk(event(3)) + chunk(event(4));
          socket.write(STREAM_HEAD + rest + LAST_CHUNK);
        }
      });
      expect(res.body).toEqual([1, 2, 3, 4].map(event).join(''));
      expect(res.writableFinished).toEqual(true);
    });

    it(`are cut if no server continues them (${name})`, async () => {
      const res = await relay((socket, attempt) => {
        if (attempt === 1) breakOff(socket);
        else socket.write(response);
      });
      expect(res.body).toEqual(event(1) + event(2));
      expect(res.writableFinished).toEqual(false);
    });
  }

  it('keep the events before an error in the same chunk', async () => {
    const res = await relay((socket, attempt) => {
      if (attempt === 1) breakOff(socket);
      else if (attempt === 2)
        socket.write(STREAM_HEAD + chunk(event(3) + JSON_ERROR + event(4)));
      else socket.write(STREAM_HEAD + chunk(event(4)) + LAST_CHUNK);
    });
    expect(res.body).toEqual([1, 2, 3, 4].map(event).join(''));
    expect(res.writableFinished).toEqual(true);
  });

  it('end as complete if no event is left', async () => {
    const res = await relay((socket, attempt) => {
      if (attempt === 1) breakOff(socket);
      else socket.write(STREAM_HEAD + LAST_CHUNK);
    });
    expect(res.body).toEqual(event(1) + event(2));
    expect(res.writableFinished).toEqual(true);
  });

  it('are not continued with an error of their first server', async () => {
    const res = await relay((socket, attempt) => {
      if (attempt === 1) {
        const head = STREAM_HEAD.replace(/Transfer.*\r\n/, '');
        socket.end(head + event(1) + event(2) + TEXT + '\n\n');
      } else socket.write(STREAM_HEAD + chunk(event(3)) + LAST_CHUNK);
    });
    expect(res.body).toEqual([1, 2, 3].map(event).join(''));
    expect(res.writableFinished).toEqual(true);
  });

  it('may contain comments and events with other fields', async () => {
    const extras = ': ping\n\nevent: stats\ndata: x\n\n';
    const versioned = 'weight-versions: 2\nid: 4\ndata: t4\n\n';
    const res = await relay((socket, attempt) => {
      if (attempt === 1) breakOff(socket);
      else {
        const rest = event(3) + extras + versioned;
        socket.write(STREAM_HEAD + chunk(rest) + LAST_CHUNK);
      }
    });
    const begin = [1, 2, 3].map(event).join('');
    expect(res.body).toEqual(begin + extras + versioned);
  });
});
