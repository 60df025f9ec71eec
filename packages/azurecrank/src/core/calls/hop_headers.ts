/** Headers that belong to one connection and are not passed on (RFC 9110). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Set anew for each hop, from the target and the body. */
const PER_MESSAGE = new Set(['host', 'content-length', 'expect']);

/** The caller's key is meant for this system and not for the service. */
const ROUTER_ONLY = new Set(['authorization']);

type Headers = Readonly<Record<string, string>>;

/** Returns the headers that go to the service, with names in lower case. */
export function toServiceHeaders(headers: Headers): Record<string, string> {
  return keep(headers, name => !ROUTER_ONLY.has(name));
}

/** Returns the headers that go to the caller. */
export function toCallerHeaders(headers: Headers): Record<string, string> {
  return keep(headers, () => true);
}

function keep(
  headers: Headers,
  isWanted: (name: string) => boolean,
): Record<string, string> {
  const lower = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  const named = new Set(
    lower
      .filter(([name]) => name === 'connection')
      .flatMap(([, value]) => value.split(','))
      .map(name => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    lower.filter(
      ([name]) =>
        !HOP_BY_HOP.has(name) &&
        !PER_MESSAGE.has(name) &&
        !named.has(name) &&
        isWanted(name),
    ),
  );
}
