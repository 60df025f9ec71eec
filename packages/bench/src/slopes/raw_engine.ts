/**
 * An engine that answers at once with outputs of a chosen size, so that the
 * cost of a side process is not limited by a model.
 */
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {EngineInfo, EngineOutput, EngineStep} from '@azurecrank/core';
import {Decoder, Encoder} from 'cbor-x';

const encoder = new Encoder({useRecords: false, tagUint8Array: false});
const decoder = new Decoder({mapsAsObjects: true});

export class RawEngine implements Disposable {
  url = '';
  batches = 0;
  steps = 0;
  private readonly server: Server;

  constructor(
    private readonly info: EngineInfo,
    /** Time of one batch. */
    private readonly batchMs: number,
  ) {
    this.server = createServer((request, response) => {
      void this.answer(request).then(body => response.end(body));
    });
  }

  async start(): Promise<this> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const bound = this.server.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    this.url = `http://127.0.0.1:${port}`;
    return this;
  }

  [Symbol.dispose](): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async answer(request: IncomingMessage): Promise<Buffer | string> {
    const body = await readBody(request);
    switch (request.url) {
      case '/v1/run':
        await new Promise(resolve => setTimeout(resolve, this.batchMs));
        return this.run(decoder.decode(body) as EngineStep[]);
      case '/v1/info':
        return JSON.stringify(this.info);
      case '/v1/tokenize':
        return JSON.stringify({tokens: [1, 2, 3]});
      default:
        return '';
    }
  }

  private run(steps: readonly EngineStep[]): Buffer {
    this.batches++;
    this.steps += steps.length;
    const outputs = steps.map(({sequence, data}): EngineOutput => ({
      kind: 'activation',
      sequence,
      data: data ?? new Uint8Array(),
    }));
    return encoder.encode(outputs);
  }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
