/**
 * Cuts a stream of server-sent events at event boundaries, so that only whole
 * events reach the caller and the stream can continue on another server.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from('id:');

/** An event without an end may not fill the memory. */
const MAX_PARTIAL_BYTES = 1024 * 1024;

export interface SplitEvents {
  /** Whole events as they came, byte for byte; may be empty. */
  readonly bytes: Buffer;
  readonly events: number;
}

const NO_EVENTS: SplitEvents = {bytes: Buffer.alloc(0), events: 0};

/** An event is longer than the limit. */
export class EventTooLargeError extends Error {}

export class EventSplitter {
  private partial: Buffer | undefined;
  private lastId = -1;

  /** @param afterId events up to this id are left out; -1 keeps all. */
  constructor(afterId = -1) {
    this.lastId = afterId;
  }

  /** Id of the last whole event; -1 if there was none with a number. */
  get lastEventId(): number {
    return this.lastId;
  }

  /** Whether bytes of an event that has not ended are held back. */
  get hasPartial(): boolean {
    return this.partial !== undefined;
  }

  /** Drops what is left of a broken event before another server continues. */
  discardPartial(): void {
    this.partial = undefined;
  }

  /** Bytes of an event that has not ended. */
  takePartial(): Buffer | undefined {
    const {partial} = this;
    this.partial = undefined;
    return partial;
  }

  /** @throws EventTooLargeError */
  push(chunk: Buffer): SplitEvents {
    const bytes = this.partial ? Buffer.concat([this.partial, chunk]) : chunk;
    const kept: Buffer[] = [];
    let events = 0;
    let begin = 0;
    for (;;) {
      const end = endOfEvent(bytes, begin);
      if (end < 0) break;
      const id = idOf(bytes, begin, end);
      // A server may repeat events that the caller already has.
      if (id < 0 || id > this.lastId) {
        if (id >= 0) this.lastId = id;
        kept.push(bytes.subarray(begin, end));
        events++;
      }
      begin = end;
    }
    this.partial = begin < bytes.length ? bytes.subarray(begin) : undefined;
    if ((this.partial?.length ?? 0) > MAX_PARTIAL_BYTES) {
      throw new EventTooLargeError('an event is longer than 1 MiB');
    }
    if (events === 0) return NO_EVENTS;
    const whole = kept.length === 1 ? kept[0] : Buffer.concat(kept);
    return {bytes: whole, events};
  }
}

/** Index after the empty line that ends an event; -1 if it has not ended. */
function endOfEvent(bytes: Buffer, begin: number): number {
  let index = bytes.indexOf(LINE_FEED, begin);
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

/** The number in the event's `id` field; -1 if it has none. */
function idOf(bytes: Buffer, begin: number, end: number): number {
  let line = begin;
  while (line < end) {
    const lineEnd = bytes.indexOf(LINE_FEED, line);
    if (bytes.compare(ID_FIELD, 0, 3, line, line + 3) === 0) {
      const id = Number(bytes.toString('latin1', line + 3, lineEnd).trim());
      return Number.isSafeInteger(id) ? id : -1;
    }
    line = lineEnd + 1;
  }
  return -1;
}
