/** Writes answers of the chat completions API, as a stream or one document. */
import type {ServerResponse} from 'node:http';
import type {Refusal, RequestId} from '@azurecrank/core';
import type {GenerationSink} from '../generation/generation_types.js';
import type {Exchange} from './exchange.js';
import {toProblemBody, type RefusalSender} from './refusal_sender.js';

const MS_PER_SECOND = 1000;

/** Fields that all objects of one answer have in common. */
interface ChatMetadata {
  readonly id: string;
  readonly created: number;
  readonly model: string;
}

export function createChatMetadata(
  request: RequestId,
  model: string,
): ChatMetadata {
  const created = Math.floor(Date.now() / MS_PER_SECOND);
  return {id: `chatcmpl-${request}`, created, model};
}

/** Buffers the answer and sends it as one JSON document. */
export class BufferedChatSink implements GenerationSink {
  private text = '';
  private tokenCount = 0;

  constructor(
    private readonly exchange: Exchange,
    private readonly metadata: ChatMetadata,
    private readonly refusals: RefusalSender,
    private readonly onEnded: () => void,
  ) {}

  onToken(text: string): void {
    this.text += text;
    this.tokenCount++;
  }

  onEnd(finishReason: 'stop' | 'length', promptTokens: number): void {
    const {res} = this.exchange;
    res.setHeader('content-type', 'application/json');
    const message = {role: 'assistant', content: this.text, refusal: null};
    const choice = {
      index: 0,
      message,
      finish_reason: finishReason,
      logprobs: null,
    };
    res.end(
      JSON.stringify({
        ...this.metadata,
        object: 'chat.completion',
        choices: [choice],
        usage: toUsage(promptTokens, this.tokenCount),
      }),
    );
    this.onEnded();
  }

  onRefused(refusal: Refusal): void {
    this.refusals.refuse(this.exchange, refusal);
    this.onEnded();
  }
}

/** Sends each token as a server-sent event. */
export class StreamingChatSink implements GenerationSink {
  private hasStarted = false;
  private tokenCount = 0;

  private readonly res: ServerResponse;

  constructor(
    private readonly exchange: Exchange,
    private readonly metadata: ChatMetadata,
    private readonly includesUsage: boolean,
    private readonly refusals: RefusalSender,
    private readonly onEnded: () => void,
  ) {
    this.res = exchange.res;
  }

  onToken(text: string): void {
    this.tokenCount++;
    this.sendDelta({content: text}, null);
  }

  onEnd(finishReason: 'stop' | 'length', promptTokens: number): void {
    this.sendDelta({}, finishReason);
    if (this.includesUsage) {
      const usage = toUsage(promptTokens, this.tokenCount);
      this.sendEvent({...this.chunkMetadata(), choices: [], usage});
    }
    this.res.end('data: [DONE]\n\n');
    this.onEnded();
  }

  /**
   * Ends a stream that has begun with an error event and closes its connection
   * early, so that no client mistakes the partial answer for a complete one.
   */
  onRefused(refusal: Refusal): void {
    if (!this.hasStarted) {
      this.refusals.refuse(this.exchange, refusal);
      return this.onEnded();
    }
    this.refusals.record(this.exchange, refusal);
    const problem = toProblemBody(refusal, this.exchange.request);
    const error = {...problem, ...problem.error};
    const event = `data: ${JSON.stringify({error})}\n\n`;
    this.res.write(event, () => this.res.destroy());
    this.onEnded();
  }

  private sendDelta(delta: object, finishReason: string | null): void {
    const role = this.hasStarted ? {} : {role: 'assistant'};
    const choice = {
      index: 0,
      delta: {...role, ...delta},
      logprobs: null,
      finish_reason: finishReason,
    };
    // With include_usage, clients expect the field in every chunk.
    const usage = this.includesUsage ? {usage: null} : {};
    this.sendEvent({...this.chunkMetadata(), choices: [choice], ...usage});
  }

  private chunkMetadata(): object {
    return {...this.metadata, object: 'chat.completion.chunk'};
  }

  private sendEvent(event: object): void {
    if (!this.hasStarted) {
      this.hasStarted = true;
      this.res.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
      });
    }
    this.res.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}

function toUsage(promptTokens: number, completionTokens: number): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
