/** Writes answers of servers to callers as the servers gave them. */
import type {ServerResponse} from 'node:http';

/** Writes the head; the body follows with the same framing as given. */
export function writeHead(
  res: ServerResponse,
  status: number,
  headers: string[],
): void {
  res.sendDate = false;
  res.writeHead(status, headers);
}

/** Writes a whole answer. A caller that has left gets nothing. */
export function writeAnswer(
  res: ServerResponse,
  status: number,
  headers: string[],
  body: Buffer,
): void {
  if (res.headersSent || res.destroyed) return;
  const hasLength = headers.some(
    (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  const framed = hasLength
    ? headers
    : [...headers, 'Content-Length', String(body.length)];
  writeHead(res, status, framed);
  res.end(body);
}
