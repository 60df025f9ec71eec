/** Removes the headers that must not be forwarded. */

/** Headers that belong to one connection and are not passed on (RFC 9110). */
const HOP_BY_HOP_HEADERS = new Set([
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

/** Set for each hop from its target and body. */
const PER_MESSAGE_HEADERS = new Set(['host', 'content-length', 'expect']);

/** The caller's key authenticates it to this system, not to the service. */
const CREDENTIAL_HEADERS = new Set(['authorization']);

type Headers = Readonly<Record<string, string>>;

/** Returns the headers that go to the service, with names in lower case. */
export function toServiceHeaders(headers: Headers): Record<string, string> {
  return filterHeaders(headers, name => !CREDENTIAL_HEADERS.has(name));
}

/** Returns the headers that go to the caller. */
export function toCallerHeaders(headers: Headers): Record<string, string> {
  return filterHeaders(headers, () => true);
}

function filterHeaders(
  headers: Headers,
  isForwarded: (name: string) => boolean,
): Record<string, string> {
  const lowerCased = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  const connectionOptions = new Set(
    lowerCased
      .filter(([name]) => name === 'connection')
      .flatMap(([, value]) => value.split(','))
      .map(name => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    lowerCased.filter(
      ([name]) =>
        !HOP_BY_HOP_HEADERS.has(name) &&
        !PER_MESSAGE_HEADERS.has(name) &&
        !connectionOptions.has(name) &&
        isForwarded(name),
    ),
  );
}
