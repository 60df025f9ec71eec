/** Writes answers of the chat completions API, streamed and whole. */
import type {ServerResponse} from 'node:http';
import type {Refusal, RequestId} from '@azurecrank/core';
import type {GenerationSink} from '../generation/generation_types.js';
import type {Exchange} from './exchange.js';
import {toProblemBody, type RefusalSender} from './refusal_sender.js';

const MS_PER_SECOND = 1000;

interface ChatHead {
  readonly id: string;
  readonly created: number;
  readonly model: string;
}

export function createChatHead(request: RequestId, model: string): ChatHead {
  const created = Math.floor(Date.now() / MS_PER_SECOND);
  return {id: `chatcmpl-${request}`, created, model};
}

/** Collects the answer and sends it as one JSON document. */
export class WholeChatSink implements GenerationSink {
  private text = '';
  private tokens = 0;

  constructor(
    private readonly exchange: Exchange,
    private readonly head: ChatHead,
    private readonly refusals: RefusalSender,
    private readonly ended: () => void,
  ) {}

  onToken(text: string): void {
    this.text += text;
    this.tokens++;
  }

  onEnd(finish: 'stop' | 'length', promptTokens: number): void {
    const {res} = this.exchange;
    res.setHeader('content-type', 'application/json');
    const message = {role: 'assistant', content: this.text, refusal: null};
    const choice = {index: 0, message, finish_reason: finish, logprobs: null};
    res.end(
      JSON.stringify({
        ...this.head,
        object: 'chat.completion',
        choices: [choice],
        usage: usageOf(promptTokens, this.tokens),
      }),
    );
    this.ended();
  }

  onRefused(refusal: Refusal): void {
    this.refusals.refuse(this.exchange, refusal);
    this.ended();
  }
}

/** Sends each token as a server-sent event. */
export class StreamingChatSink implements GenerationSink {
  private hasStarted = false;
  private tokens = 0;

  private readonly res: ServerResponse;

  constructor(
    private readonly exchange: Exchange,
    private readonly head: ChatHead,
    private readonly includesUsage: boolean,
    private readonly refusals: RefusalSender,
    private readonly ended: () => void,
  ) {
    this.res = exchange.res;
  }

  onToken(text: string): void {
    this.tokens++;
    this.sendDelta({content: text}, null);
  }

  onEnd(finish: 'stop' | 'length', promptTokens: number): void {
    this.sendDelta({}, finish);
    if (this.includesUsage) {
      const usage = usageOf(promptTokens, this.tokens);
      this.sendEvent({...this.chunkHead(), choices: [], usage});
    }
    this.res.end('data: [DONE]\n\n');
    this.ended();
  }

  /**
   * A stream that has begun ends with an error event and a cut connection, so
   * that no client takes the part for the whole.
   */
  onRefused(refusal: Refusal): void {
    if (!this.hasStarted) {
      this.refusals.refuse(this.exchange, refusal);
      return this.ended();
    }
    this.refusals.note(this.exchange, refusal);
    const problem = toProblemBody(refusal, this.exchange.request);
    const error = {...problem, ...problem.error};
    const event = `data: ${JSON.stringify({error})}\n\n`;
    this.res.write(event, () => this.res.destroy());
    this.ended();
  }

  private sendDelta(delta: object, finish: string | null): void {
    const role = this.hasStarted ? {} : {role: 'assistant'};
    const choice = {
      index: 0,
      delta: {...role, ...delta},
      logprobs: null,
      finish_reason: finish,
    };
    // Clients that ask for usage expect the field in every chunk.
    const usage = this.includesUsage ? {usage: null} : {};
    this.sendEvent({...this.chunkHead(), choices: [choice], ...usage});
  }

  private chunkHead(): object {
    return {...this.head, object: 'chat.completion.chunk'};
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

function usageOf(promptTokens: number, completionTokens: number): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
