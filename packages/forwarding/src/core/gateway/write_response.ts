/** Writes responses of servers to callers unchanged. */
import type {ServerResponse} from 'node:http';

/** Writes the head; its headers determine the framing of the body. */
export function writeHead(
  res: ServerResponse,
  status: number,
  headers: string[],
): void {
  res.sendDate = false;
  res.writeHead(status, headers);
}

/** Writes a complete response, unless the caller has disconnected. */
export function writeResponse(
  res: ServerResponse,
  status: number,
  headers: string[],
  body: Buffer,
): void {
  if (res.headersSent || res.destroyed) return;
  const hasLength = headers.some(
    (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  const framedHeaders = hasLength
    ? headers
    : [...headers, 'Content-Length', String(body.length)];
  writeHead(res, status, framedHeaders);
  res.end(body);
}
