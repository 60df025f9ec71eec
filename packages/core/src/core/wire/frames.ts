/**
 * Framing of messages on a connection: a 4-byte big-endian length, followed by
 * one CBOR map.
 */
import {Decoder, Encoder} from 'cbor-x';
import type {Message} from './messages.js';

export const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const HEADER_BYTES = 4;

const CBOR_OPTIONS = {
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
} as const;
const encoder = new Encoder(CBOR_OPTIONS);
const decoder = new Decoder(CBOR_OPTIONS);

export class FrameError extends Error {}

let lastMessage: Message | undefined;
let lastFrame: Buffer | undefined;

/**
 * Encodes one message with its length header. A message that goes to several
 * peers in a row is encoded once; its frame must not be changed.
 * @throws FrameError if the message is too long.
 */
export function encodeFrame(message: Message): Buffer {
  if (message === lastMessage && lastFrame) return lastFrame;
  const frame = createFrame(message);
  lastMessage = message;
  lastFrame = frame;
  return frame;
}

function createFrame(message: Message): Buffer {
  const body = encoder.encode(message);
  if (body.length > MAX_FRAME_BYTES) {
    throw new FrameError(`frame of ${body.length} bytes exceeds the limit`);
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, HEADER_BYTES);
  return frame;
}

/** Encodes a part of a message that others pass on unchanged. */
export function encodePart(part: object): Uint8Array {
  return Uint8Array.from(encoder.encode(part));
}

/** @throws FrameError if the bytes are no CBOR map. */
export function decodePart(bytes: Uint8Array): object {
  const value = decodeObject(bytes);
  if (value === undefined) throw new FrameError('part is not a map');
  return value;
}

/** Splits a byte stream into messages. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = HEADER_BYTES;

  /**
   * Buffers received bytes and returns the messages that are now complete.
   * @throws FrameError if a frame is too long or is not a message.
   */
  push(chunk: Buffer): Message[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) return [];
    return this.decodeBuffered();
  }

  private decodeBuffered(): Message[] {
    const bytes =
      this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    const messages: Message[] = [];
    let offset = 0;
    this.neededBytes = HEADER_BYTES;
    while (bytes.length - offset >= HEADER_BYTES) {
      const length = bytes.readUInt32BE(offset);
      if (length > MAX_FRAME_BYTES) {
        throw new FrameError(`frame of ${length} bytes exceeds the limit`);
      }
      const end = offset + HEADER_BYTES + length;
      if (end > bytes.length) {
        this.neededBytes = HEADER_BYTES + length;
        break;
      }
      messages.push(decodeMessage(bytes.subarray(offset + HEADER_BYTES, end)));
      offset = end;
    }
    const rest = bytes.subarray(offset);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    return messages;
  }
}

function decodeMessage(bytes: Uint8Array): Message {
  const value = decodeObject(bytes);
  if (value === undefined || !('type' in value)) {
    throw new FrameError('frame is not a message');
  }
  return value as Message;
}

function decodeObject(bytes: Uint8Array): object | undefined {
  let value: unknown;
  try {
    value = decoder.decode(bytes);
  } catch (error) {
    throw new FrameError(`frame is not CBOR: ${String(error)}`);
  }
  return typeof value === 'object' && value !== null ? value : undefined;
}
