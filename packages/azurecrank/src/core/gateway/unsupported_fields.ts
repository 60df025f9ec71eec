/**
 * Finds fields of the chat completions API that this system does not support.
 * Ignoring them would mislead the caller, so requests with them are refused.
 * Values that have no effect are accepted.
 */
type Fields = Readonly<Record<string, unknown>>;

/** Returns why the value is not supported, or undefined if it is accepted. */
type FieldCheck = (value: unknown) => string | undefined;

const FIELD_CHECKS: Readonly<Record<string, FieldCheck>> = {
  n: value => (value === 1 ? undefined : 'only 1 answer is given per request'),
  tools: value => unlessEmpty(value, 'tools are not supported'),
  functions: value => unlessEmpty(value, 'functions are not supported'),
  stop: value => unlessEmpty(value, 'stop sequences are not supported'),
  logit_bias: value => unlessEmpty(value, 'logit bias is not supported'),
  logprobs: value =>
    value === false ? undefined : 'log probabilities are not supported',
  top_logprobs: value =>
    value === 0 ? undefined : 'log probabilities are not supported',
  response_format: value =>
    isRecord(value) && value.type === 'text'
      ? undefined
      : 'only the format {"type": "text"} is supported',
  modalities: value =>
    Array.isArray(value) && value.every(item => item === 'text')
      ? undefined
      : 'only ["text"] is supported',
  audio: () => 'audio is not supported',
  web_search_options: () => 'web search is not supported',
};

/** Returns a message that names the first unsupported field, if there is one. */
export function findUnsupportedField(body: unknown): string | undefined {
  if (!isRecord(body)) return undefined;
  for (const [field, check] of Object.entries(FIELD_CHECKS)) {
    const value = body[field];
    if (value === undefined || value === null) continue;
    const problem = check(value);
    if (problem) return `${field}: ${problem}`;
  }
  const {messages} = body;
  if (!Array.isArray(messages)) return undefined;
  for (const [index, message] of messages.entries()) {
    const problem = findUnsupportedInMessage(message);
    if (problem) return `messages.${index}.${problem}`;
  }
  return undefined;
}

function findUnsupportedInMessage(message: unknown): string | undefined {
  if (!isRecord(message)) return undefined;
  const {tool_calls: toolCalls, content} = message;
  const isCall = Array.isArray(toolCalls) && toolCalls.length > 0;
  if (isCall) return 'tool_calls: tools are not supported';
  if (!Array.isArray(content)) return undefined;
  for (const [index, part] of content.entries()) {
    if (!isRecord(part) || typeof part.type !== 'string') continue;
    if (part.type === 'text' || part.type === 'refusal') continue;
    const kind = part.type.slice(0, MAX_SHOWN_TYPE_CHARS);
    return `content.${index}: parts of type ${kind} are not supported, only text`;
  }
  return undefined;
}

const MAX_SHOWN_TYPE_CHARS = 40;

function unlessEmpty(value: unknown, message: string): string | undefined {
  const isEmpty =
    value === '' || (typeof value === 'object' && !Object.keys(value!).length);
  return isEmpty ? undefined : message;
}

function isRecord(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
