/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events reach the caller and another server can continue the stream.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from('id:');

/**
 * Bounds the memory that an incomplete event takes. Each of some hundred streams
 * of a faulty server may have one.
 */
const MAX_PARTIAL_BYTES = 64 * 1024;

/** Bytes before new ones that may belong to the line ends after an event. */
const EVENT_END_OVERLAP_BYTES = 2;

export interface SplitEvents {
  /** Complete events, byte for byte as received; may be empty. */
  readonly bytes: Buffer;
  /** Number of events, without comments, which do not advance the stream. */
  readonly eventCount: number;
  /** Whether bytes follow that are no event of the stream, as of an error. */
  readonly isInvalid: boolean;
}

const NO_BYTES = Buffer.alloc(0);

/** Fields that an event without an id may have; a comment has an empty name. */
const FIELD_LINE = /^(?:data|event|retry|id|):/;
const COMMENT_LINE = /^:/;

/** The bytes of an incomplete event, in one buffer that grows. */
class PartialEvent {
  private buffer = NO_BYTES;
  private length = 0;

  get sizeBytes(): number {
    return this.length;
  }

  /** Returns all bytes; they are valid until the next call. */
  append(chunk: Buffer): Buffer {
    const needed = this.length + chunk.length;
    if (needed > this.buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(needed, 2 * this.length));
      this.buffer.copy(grown, 0, 0, this.length);
      this.buffer = grown;
    }
    chunk.copy(this.buffer, this.length);
    this.length = needed;
    return this.buffer.subarray(0, needed);
  }

  /** Starts anew in another buffer, as events in this one were passed on. */
  reset(rest: Buffer): void {
    this.buffer = NO_BYTES;
    this.length = 0;
    if (rest.length > 0) this.append(rest);
  }
}

/** Thrown if an incomplete event exceeds `MAX_PARTIAL_BYTES`. */
export class EventTooLargeError extends Error {}

export class EventSplitter {
  private readonly partial = new PartialEvent();
  private lastId = -1;
  /** Whether a resumed stream awaits its first event with an id. */
  private awaitsId = false;

  /** @param afterId events with ids up to this are dropped; -1 keeps all */
  constructor(afterId = -1) {
    this.lastId = afterId;
  }

  /** Id of the last complete event; -1 if none had a numeric id. */
  get lastEventId(): number {
    return this.lastId;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartial(): boolean {
    return this.partial.sizeBytes > 0;
  }

  /**
   * Drops the incomplete event before the response of another server.
   * @param isContinuation whether it continues what the caller has received
   */
  startResponse(isContinuation: boolean): void {
    this.partial.reset(NO_BYTES);
    this.awaitsId = isContinuation;
  }

  /**
   * Adds received bytes and returns the events that they complete.
   * @throws EventTooLargeError
   */
  push(chunk: Buffer): SplitEvents {
    const partialBytes = this.partial.sizeBytes;
    const bytes = partialBytes > 0 ? this.partial.append(chunk) : chunk;
    // What was searched for an end before is not searched again.
    let searchFrom = Math.max(0, partialBytes - EVENT_END_OVERLAP_BYTES);
    const newEvents: Buffer[] = [];
    let eventCount = 0;
    let isInvalid = false;
    let start = 0;
    for (;;) {
      const end = findEventEnd(bytes, searchFrom);
      if (end < 0) break;
      const id = parseEventId(bytes, start, end);
      isInvalid = id < 0 && !this.mayOmitId(bytes.subarray(start, end));
      if (isInvalid) break;
      if (id >= 0) this.awaitsId = false;
      // A server may repeat events that the caller already has.
      if (id < 0 || id > this.lastId) {
        if (id >= 0) this.lastId = id;
        newEvents.push(bytes.subarray(start, end));
        if (id >= 0 || !isComment(bytes, start, end)) eventCount++;
      }
      start = end;
      searchFrom = end;
    }
    const isExtended = partialBytes > 0 && start === 0;
    if (!isExtended) this.partial.reset(bytes.subarray(start));
    if (this.partial.sizeBytes > MAX_PARTIAL_BYTES)
      throw new EventTooLargeError('server-sent event exceeds 64 KiB');
    return {bytes: joinEvents(newEvents), eventCount, isInvalid};
  }

  /**
   * Whether an event without an id can belong to the stream. Anything can while
   * no event had one; a continuation has to begin with an id.
   */
  private mayOmitId(event: Buffer): boolean {
    if (this.lastId < 0 && !this.awaitsId) return true;
    const allowed = this.awaitsId ? COMMENT_LINE : FIELD_LINE;
    const lines = event.toString('latin1').split(/\r?\n/);
    return lines.every(line => line === '' || allowed.test(line));
  }
}

/** Whether all lines are comments. */
function isComment(bytes: Buffer, start: number, end: number): boolean {
  const lines = bytes.toString('latin1', start, end).split(/\r?\n/);
  return lines.every(line => line === '' || COMMENT_LINE.test(line));
}

function joinEvents(events: readonly Buffer[]): Buffer {
  if (events.length === 0) return NO_BYTES;
  return events.length === 1 ? events[0] : Buffer.concat(events);
}

/** Returns the index after the event's final empty line, or -1. */
function findEventEnd(bytes: Buffer, start: number): number {
  let index = bytes.indexOf(LINE_FEED, start);
  while (index >= 0) {
    const next = index + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    if (bytes[next] === CARRIAGE_RETURN && bytes[next + 1] === LINE_FEED) {
      return next + 2;
    }
    index = bytes.indexOf(LINE_FEED, next);
  }
  return -1;
}

/** Returns the numeric value of the event's `id` field, or -1. */
function parseEventId(bytes: Buffer, start: number, end: number): number {
  let line = start;
  while (line < end) {
    const lineEnd = bytes.indexOf(LINE_FEED, line);
    const nameEnd = Math.min(line + ID_FIELD.length, end);
    if (bytes.compare(ID_FIELD, 0, ID_FIELD.length, line, nameEnd) === 0) {
      const id = Number(bytes.toString('latin1', line + 3, lineEnd).trim());
      return Number.isSafeInteger(id) ? id : -1;
    }
    line = lineEnd + 1;
  }
  return -1;
}
