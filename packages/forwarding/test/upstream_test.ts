import {createServer, type Server, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  HttpUpstream,
  type UpstreamFailure,
  type ServerAddress,
} from '@azurecrank/forwarding';
import {expect} from 'earl';

type Outcome =
  | {readonly kind: 'ended'; readonly status: number; readonly body: string}
  | ({readonly kind: 'failed'} & UpstreamFailure);

/** Runs against a TCP server that writes raw responses and ends or resets. */
describe('HttpUpstream', () => {
  let server: Server;
  let upstream: HttpUpstream;
  let address: ServerAddress;
  let behave: (socket: Socket) => void;

  beforeEach(async () => {
    upstream = new HttpUpstream();
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => behave(socket));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const bound = server.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    address = `127.0.0.1:${port}`;
  });

  afterEach(() => {
    upstream[Symbol.dispose]();
    server.close();
  });

  function send(
    isSingleUse: boolean,
    onFailure: () => void = () => {},
  ): Promise<Outcome> {
    let status = 0;
    const chunks: Buffer[] = [];
    return new Promise(resolve => {
      upstream.send(
        {
          address,
          method: 'POST',
          target: '/booking',
          headers: ['host', 'shop.example'],
          body: Buffer.from('{}'),
          isSingleUse,
        },
        {
          onHead: code => (status = code),
          onData: chunk => void chunks.push(chunk),
          onEnd: () => {
            const body = Buffer.concat(chunks).toString();
            resolve({kind: 'ended', status, body});
          },
          onFailure: failure => {
            onFailure();
            resolve({kind: 'failed', ...failure});
          },
        },
      );
    });
  }

  for (const isSingleUse of [true, false]) {
    describe(isSingleUse ? 'new connection' : 'keep-alive connection', () => {
      it('accepts a response without a length that ends orderly', async () => {
        behave = socket => {
          socket.write('HTTP/1.1 200 OK\r\n\r\nwhole');
          setTimeout(() => socket.end(), 10);
        };
        const outcome = await send(isSingleUse);
        expect(outcome).toEqual({kind: 'ended', status: 200, body: 'whole'});
      });

      it('fails if a response without a length is reset later', async () => {
        behave = socket => {
          socket.write('HTTP/1.1 200 OK\r\n\r\npart');
          setTimeout(() => socket.resetAndDestroy(), 30);
        };
        const outcome = await send(isSingleUse);
        expect(outcome.kind).toEqual('failed');
      });

      it('fails if a response without a length is reset at once', async () => {
        behave = socket => {
          const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart';
          socket.write(head);
          setImmediate(() => socket.resetAndDestroy());
        };
        const outcome = await send(isSingleUse);
        expect(outcome.kind).toEqual('failed');
      });

      it('fails if a response is shorter than its length', async () => {
        behave = socket => {
          const head = 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart';
          socket.end(head);
        };
        const outcome = await send(isSingleUse);
        expect(outcome.kind).toEqual('failed');
      });

      it('fails if a chunked response lacks its last chunk', async () => {
        behave = socket => {
          const head =
            'HTTP/1.1 200 OK\r\nConnection: close\r\n' +
            'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n';
          socket.end(head);
        };
        const outcome = await send(isSingleUse);
        expect(outcome.kind).toEqual('failed');
      });
    });
  }

  // Guards against an exception in the caller of `send`, which ends the process,
  // and against a failure that is reported before the exchange is known.
  for (const invalid of ['127.0.0.1:65536', ':80', 'a b:1']) {
    it(`reports later that nothing was sent to ${invalid}`, async () => {
      address = invalid;
      for (const isSingleUse of [true, false]) {
        let hasReturned = false;
        const outcome = new Promise<Outcome>(resolve => {
          const failed = send(isSingleUse, () => {
            expect(hasReturned).toEqual(true);
          });
          hasReturned = true;
          resolve(failed);
        });
        expect(await outcome).toLooseEqual({
          kind: 'failed',
          mayHaveRun: false,
          cause: expect.a(String),
        });
      }
    });
  }

  it('reports that nothing was sent if the connection is refused', async () => {
    address = '127.0.0.1:1';
    const outcome = await send(true);
    expect(outcome).toLooseEqual({
      kind: 'failed',
      mayHaveRun: false,
      cause: expect.a(String),
    });
  });

  // Guards against a new connection for each stream.
  it('sends requests one after another on one connection', async () => {
    let connections = 0;
    const lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked'];
    const head = [...lines, 'Keep-Alive: timeout=5', '', ''].join('\r\n');
    behave = socket => {
      connections++;
      const respond = () => {
        socket.write(head);
        setTimeout(() => socket.write('5\r\nwhole\r\n0\r\n\r\n'), 5);
      };
      respond();
      // The body of a request may arrive by itself.
      socket.on('data', data => {
        if (data.includes('POST ')) respond();
      });
    };
    for (let i = 0; i < 5; i++) {
      const outcome = await send(false);
      expect(outcome).toEqual({kind: 'ended', status: 200, body: 'whole'});
      // The connection is idle only after the step that ends the response.
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(connections).toEqual(1);
  });
});
