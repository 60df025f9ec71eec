/** Parses and validates the body of `POST /v1/chat/completions`. */
import * as z from 'zod';
import {findUnsupportedField} from './unsupported_fields.js';

const contentPart = z.union([
  z.object({type: z.literal('text'), text: z.string()}),
  z.object({type: z.literal('refusal'), refusal: z.string()}),
]);

const content = z.union([z.string(), z.array(contentPart).min(1)], {
  error: 'expected a string or a list of text parts',
});

const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content,
});

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 32_768;

const maxTokens = z.number().int().positive().max(MAX_TOKENS_LIMIT);

/**
 * Other fields of the API that do not change the form of the answer are
 * ignored; `findUnsupportedField` finds those that are refused.
 */
const chatSchema = z.object({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  max_tokens: maxTokens.nullish(),
  max_completion_tokens: maxTokens.nullish(),
  stream_options: z.object({include_usage: z.boolean().nullish()}).nullish(),
});

export interface ChatRequest {
  /** Name of the requested service, from the field `model`. */
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
  } catch (error) {
    const detail = `the body is not JSON: ${(error as Error).message}`;
    return {kind: 'invalid', detail};
  }
  const unsupported = findUnsupportedField(raw);
  if (unsupported) return {kind: 'invalid', detail: unsupported};
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
      : content
          .map(part => (part.type === 'text' ? part.text : part.refusal))
          .join('');
  return `${role}: ${text}`;
}
