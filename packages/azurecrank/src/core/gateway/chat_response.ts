/** Writes answers of the chat completions API, streamed and whole. */
import type {ServerResponse} from 'node:http';
import {
  refusalData,
  toProblemDocument,
  type Refusal,
  type RequestId,
} from '@azurecrank/core';
import type {GenerationSink} from '../generation/generation.js';

const MS_PER_SECOND = 1000;

/** Sends a refusal as `application/problem+json` (RFC 9457). */
export function sendProblem(
  res: ServerResponse,
  refusal: Refusal,
  request: RequestId | '',
): void {
  const problem = toProblemDocument(refusal, request);
  res.statusCode = problem.status;
  res.setHeader('content-type', 'application/problem+json');
  if (refusal.retryAfterMs !== undefined) {
    const retryAfterS = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    res.setHeader('retry-after', String(retryAfterS));
  }
  // Clients of the chat API read the message from an `error` member.
  const {title, detail, reason} = problem;
  const message = detail === title ? title : `${title}: ${detail}`;
  const error = {message, type: reason, code: reason};
  res.end(JSON.stringify({...problem, error}));
}

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
    private readonly res: ServerResponse,
    private readonly request: RequestId,
    private readonly head: ChatHead,
    private readonly ended: () => void,
  ) {}

  onToken(text: string): void {
    this.text += text;
    this.tokens++;
  }

  onEnd(finish: 'stop' | 'length', promptTokens: number): void {
    this.res.setHeader('content-type', 'application/json');
    const message = {role: 'assistant', content: this.text};
    const choice = {index: 0, message, finish_reason: finish, logprobs: null};
    this.res.end(
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
    sendProblem(this.res, refusal, this.request);
    this.ended();
  }
}

/** Sends each token as a server-sent event. */
export class StreamingChatSink implements GenerationSink {
  private hasStarted = false;
  private tokens = 0;

  constructor(
    private readonly res: ServerResponse,
    private readonly request: RequestId,
    private readonly head: ChatHead,
    private readonly includesUsage: boolean,
    private readonly ended: () => void,
  ) {}

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
      sendProblem(this.res, refusal, this.request);
      return this.ended();
    }
    const problem = toProblemDocument(refusal, this.request);
    const {title} = refusalData(refusal.reason);
    const error = {...problem, message: title, code: refusal.reason};
    const event = `data: ${JSON.stringify({error})}\n\n`;
    this.res.write(event, () => this.res.destroy());
    this.ended();
  }

  private sendDelta(delta: object, finish: string | null): void {
    const role = this.hasStarted ? {} : {role: 'assistant'};
    const choice = {
      index: 0,
      delta: {...role, ...delta},
      finish_reason: finish,
    };
    this.sendEvent({...this.chunkHead(), choices: [choice]});
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
