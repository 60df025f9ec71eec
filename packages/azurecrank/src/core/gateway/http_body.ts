/** Reads request bodies with a size limit. */
import type {IncomingMessage} from 'node:http';

/** Returns undefined if the body is larger than `maxBytes`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of req) {
    const bytes = chunk as Buffer;
    sizeBytes += bytes.length;
    if (sizeBytes > maxBytes) return undefined;
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}
