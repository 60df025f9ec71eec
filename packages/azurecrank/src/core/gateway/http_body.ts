/** Reads request bodies with a limit of size and time. */
import type {IncomingMessage} from 'node:http';

export type BodyResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  /** Reported before the rest of the body has come. */
  | {readonly kind: 'too_large'}
  | {readonly kind: 'late'}
  /** The caller closed the connection within the body. */
  | {readonly kind: 'left'};

export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/** Never rejects: a broken connection must not end the process. */
export function readBody(
  req: IncomingMessage,
  {maxBodyBytes, bodyTimeoutMs}: BodyLimits,
): Promise<BodyResult> {
  const announcedBytes = Number(req.headers['content-length'] ?? 0);
  if (announcedBytes > maxBodyBytes) {
    return Promise.resolve({kind: 'too_large'});
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const take = (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBodyBytes) finish({kind: 'too_large'});
      else chunks.push(chunk);
    };
    const end = () => finish({kind: 'whole', body: Buffer.concat(chunks)});
    const leave = () => finish({kind: 'left'});
    const timer = setTimeout(() => finish({kind: 'late'}), bodyTimeoutMs);
    const finish = (result: BodyResult) => {
      clearTimeout(timer);
      req.off('data', take).off('end', end).off('close', leave);
      resolve(result);
    };
    req.on('data', take).on('end', end).on('close', leave);
    // The listener stays, so that a later error is not thrown.
    req.on('error', leave);
  });
}
