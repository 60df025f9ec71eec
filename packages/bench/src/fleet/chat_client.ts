/** Streaming HTTP client of the chat completions API. */
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

export interface ChatResult {
  readonly status: number;
  /** Whether the stream ended with its `[DONE]` event. */
  readonly isComplete: boolean;
  readonly text: string;
  /** Time of the first token since the start; 0 without a token. */
  readonly firstTokenMs: number;
  readonly durationMs: number;
  /** Time of each token since the start. */
  readonly tokenTimesMs: readonly number[];
  /** Reason of the refusal or failure; empty if there was none. */
  readonly reason: string;
  /** Whether the request ran, as the error says; empty without an error. */
  readonly ran: string;
}

interface ChatEvent {
  readonly choices?: readonly {readonly delta: {readonly content?: string}}[];
  readonly error?: {readonly reason?: string; readonly ran?: string};
}

/** Returns the text that the gateway passes to the stand-in model for this prompt. */
export function formatModelPrompt(prompt: string): string {
  return `user: ${prompt}`;
}

/** Sends a streaming request and reads the answer to its end. */
export async function streamChat(options: ChatOptions): Promise<ChatResult> {
  const startMs = performance.now();
  const tokenTimesMs: number[] = [];
  let text = '';
  let isWhole = false;
  let failure: ChatEvent['error'];
  let status = 0;
  try {
    const response = await sendRequest(options, true);
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
    isComplete: isWhole,
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

function sendRequest(options: ChatOptions, isStreaming: boolean) {
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
