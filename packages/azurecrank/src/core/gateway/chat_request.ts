/** Checks the body of `POST /v1/chat/completions`. */
import {z} from 'zod';

const contentPart = z.object({type: z.literal('text'), text: z.string()});

const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z.union([z.string(), z.array(contentPart)]),
});

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 32_768;

const maxTokens = z.number().int().positive().max(MAX_TOKENS_LIMIT);

/** Fields of the API that do not change the route are accepted and ignored. */
const chatSchema = z.object({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  max_tokens: maxTokens.nullish(),
  max_completion_tokens: maxTokens.nullish(),
  n: z.literal(1).nullish(),
  stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
});

export interface ChatRequest {
  /** Name of the service that the caller asks for. */
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStreaming: boolean;
  readonly includesUsage: boolean;
}

export type ChatRequestResult =
  | {readonly kind: 'valid'; readonly chat: ChatRequest}
  | {readonly kind: 'invalid'; readonly detail: string};

export function parseChatRequest(body: Buffer): ChatRequestResult {
  let raw: unknown;
  try {
    raw = JSON.parse(body.toString('utf8'));
  } catch {
    return {kind: 'invalid', detail: 'the body is not JSON'};
  }
  const result = chatSchema.safeParse(raw);
  if (!result.success) {
    const [issue] = result.error.issues;
    const detail = `${issue.path.join('.') || 'body'}: ${issue.message}`;
    return {kind: 'invalid', detail};
  }
  const {model, messages, stream, ...rest} = result.data;
  const chat: ChatRequest = {
    service: model,
    prompt: messages.map(toPromptLine).join('\n'),
    maxTokens:
      rest.max_completion_tokens ?? rest.max_tokens ?? DEFAULT_MAX_TOKENS,
    isStreaming: stream ?? false,
    includesUsage: rest.stream_options?.include_usage ?? false,
  };
  return {kind: 'valid', chat};
}

function toPromptLine({role, content}: z.infer<typeof messageSchema>): string {
  const text =
    typeof content === 'string'
      ? content
      : content.map(part => part.text).join('');
  return `${role}: ${text}`;
}
