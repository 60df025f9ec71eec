/** Reads request bodies with a size limit and a timeout. */
import type {IncomingMessage} from 'node:http';
import {ChunkBuffer} from '@azurecrank/core';

export type BodyResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  /** Reported at once, before the rest of the body has arrived. */
  | {readonly kind: 'too_large'}
  /** The body was not complete within the timeout. */
  | {readonly kind: 'late'}
  /** The caller disconnected before the body was complete. */
  | {readonly kind: 'left'};

export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/** Never rejects, since a connection error must not end the process. */
export function readBody(
  req: IncomingMessage,
  {maxBodyBytes, bodyTimeoutMs}: BodyLimits,
): Promise<BodyResult> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  if (declaredBytes > maxBodyBytes) {
    return Promise.resolve({kind: 'too_large'});
  }
  return new Promise(resolve => {
    const chunks = new ChunkBuffer();
    const onData = (chunk: Buffer) => {
      if (chunks.sizeBytes + chunk.length > maxBodyBytes)
        finish({kind: 'too_large'});
      else chunks.push(chunk);
    };
    const onEnd = () => finish({kind: 'whole', body: chunks.concat()});
    const onClose = () => finish({kind: 'left'});
    const timer = setTimeout(() => finish({kind: 'late'}), bodyTimeoutMs);
    const finish = (result: BodyResult) => {
      clearTimeout(timer);
      req.off('data', onData).off('end', onEnd).off('close', onClose);
      resolve(result);
    };
    req.on('data', onData).on('end', onEnd).on('close', onClose);
    // This listener is not removed, so that a later error is not thrown.
    req.on('error', onClose);
  });
}
