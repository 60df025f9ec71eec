/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events reach the caller and another server can continue the stream.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from('id:');

/** Bounds the memory that an incomplete event takes. */
const MAX_PARTIAL_BYTES = 1024 * 1024;

export interface SplitEvents {
  /** Complete events, byte for byte as received; may be empty. */
  readonly bytes: Buffer;
  readonly eventCount: number;
}

const NO_EVENTS: SplitEvents = {bytes: Buffer.alloc(0), eventCount: 0};

/** Thrown if an incomplete event exceeds `MAX_PARTIAL_BYTES`. */
export class EventTooLargeError extends Error {}

export class EventSplitter {
  private partial: Buffer | undefined;
  private lastId = -1;

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
    return this.partial !== undefined;
  }

  /** Drops the incomplete event before another server continues the stream. */
  discardPartial(): void {
    this.partial = undefined;
  }

  /**
   * Adds received bytes and returns the events that they complete.
   * @throws EventTooLargeError
   */
  push(chunk: Buffer): SplitEvents {
    const bytes = this.partial ? Buffer.concat([this.partial, chunk]) : chunk;
    const newEvents: Buffer[] = [];
    let eventCount = 0;
    let start = 0;
    for (;;) {
      const end = findEventEnd(bytes, start);
      if (end < 0) break;
      const id = parseEventId(bytes, start, end);
      // A server may repeat events that the caller already has.
      if (id < 0 || id > this.lastId) {
        if (id >= 0) this.lastId = id;
        newEvents.push(bytes.subarray(start, end));
        eventCount++;
      }
      start = end;
    }
    this.partial = start < bytes.length ? bytes.subarray(start) : undefined;
    if ((this.partial?.length ?? 0) > MAX_PARTIAL_BYTES) {
      throw new EventTooLargeError('server-sent event exceeds 1 MiB');
    }
    if (eventCount === 0) return NO_EVENTS;
    const joined =
      newEvents.length === 1 ? newEvents[0] : Buffer.concat(newEvents);
    return {bytes: joined, eventCount};
  }
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
