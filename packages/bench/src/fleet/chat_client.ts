/** A plain HTTP client of the chat completions API. */
import {request} from 'undici';

export interface ChatOptions {
  readonly url: string;
  readonly bearerKey: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly onToken?: (text: string) => void;
}

export interface ChatOutcome {
  readonly status: number;
  /** Whether the stream ended with its end mark. */
  readonly isWhole: boolean;
  readonly text: string;
  readonly firstTokenMs: number;
  readonly durationMs: number;
  /** Time of each token after the start, in milliseconds. */
  readonly tokenTimesMs: readonly number[];
  /** Reason of the refusal, if there was one. */
  readonly reason: string;
  readonly ran: string;
}

interface ChatEvent {
  readonly choices?: readonly {readonly delta: {readonly content?: string}}[];
  readonly error?: {readonly reason?: string; readonly ran?: string};
}

/** What the stand-in model is asked with this prompt by the gateway. */
export function promptLine(prompt: string): string {
  return `user: ${prompt}`;
}

/** Sends a streamed request and reads the answer to its end. */
export async function streamChat(options: ChatOptions): Promise<ChatOutcome> {
  const startMs = performance.now();
  const tokenTimesMs: number[] = [];
  let text = '';
  let isWhole = false;
  let failure: ChatEvent['error'];
  let status = 0;
  try {
    const response = await send(options, true);
    status = response.statusCode;
    if (status !== 200) {
      failure = (await response.body.json()) as ChatEvent['error'];
    } else {
      for await (const event of readEvents(response.body)) {
        if (event === 'end') {
          isWhole = true;
          continue;
        }
        if (event.error) failure = event.error;
        const content = event.choices?.[0]?.delta.content;
        if (content === undefined) continue;
        tokenTimesMs.push(performance.now() - startMs);
        text += content;
        options.onToken?.(content);
      }
    }
  } catch (error) {
    failure ??= {reason: `connection: ${String(error)}`, ran: 'unknown'};
  }
  return {
    status,
    isWhole,
    text,
    firstTokenMs: tokenTimesMs[0] ?? 0,
    durationMs: performance.now() - startMs,
    tokenTimesMs,
    reason: failure?.reason ?? '',
    ran: failure?.ran ?? '',
  };
}

async function* readEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<ChatEvent | 'end'> {
  let text = '';
  for await (const chunk of body) {
    text += chunk.toString('utf8');
    for (;;) {
      const end = text.indexOf('\n\n');
      if (end < 0) break;
      const data = text.slice(0, end).replace(/^data: /, '');
      text = text.slice(end + 2);
      yield data === '[DONE]' ? 'end' : (JSON.parse(data) as ChatEvent);
    }
  }
}

function send(options: ChatOptions, isStreaming: boolean) {
  return request(`${options.url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${options.bearerKey}`,
      ...options.headers,
    },
    body: JSON.stringify({
      model: options.service,
      messages: [{role: 'user', content: options.prompt}],
      max_tokens: options.maxTokens,
      stream: isStreaming,
    }),
  });
}
