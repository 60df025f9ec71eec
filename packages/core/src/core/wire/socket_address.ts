/** Checks addresses of the form `HOST:PORT` that come from outside. Pure. */
import {isIPv4, isIPv6} from 'node:net';

const MAX_PORT = 65_535;

/** Longest host name (RFC 1035), which also bounds what logs show. */
const MAX_HOST_CHARS = 255;

const HOST_AND_PORT = /^(.+):([1-9]\d{0,4})$/;

/** Host names and IP addresses, with or without brackets. */
const HOST_NAME = /^[\w.:[\]-]+$/;

/** Whether the text is a host name or IP address and a port from 1 to 65535. */
export function isSocketAddress(text: string): boolean {
  return hostOf(text) !== undefined;
}

/** The same with an IP address only; one of IPv6 has brackets. */
export function isIpSocketAddress(text: string): boolean {
  const host = hostOf(text);
  if (host === undefined) return false;
  const isBracketed = host.startsWith('[') && host.endsWith(']');
  return isBracketed ? isIPv6(host.slice(1, -1)) : isIPv4(host);
}

function hostOf(text: string): string | undefined {
  if (text.length > MAX_HOST_CHARS + `:${MAX_PORT}`.length) return undefined;
  const [, host = '', port = ''] = HOST_AND_PORT.exec(text) ?? [];
  return HOST_NAME.test(host) && Number(port) <= MAX_PORT ? host : undefined;
}
