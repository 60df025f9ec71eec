/**
 * Writes log lines without ever waiting for their reader: what the reader does
 * not take, and what exceeds the ceiling of a second, is left out and counted.
 */
import type {Writable} from 'node:stream';

export interface LineWriterOptions {
  /** Lines a second, of which failures may use all. */
  readonly maxLinesPerS: number;
  /** Share of the ceiling for lines that are neither warnings nor errors. */
  readonly usualShare: number;
  /** Bytes that may wait for the reader. */
  readonly maxWaitingBytes: number;
}

export const DEFAULT_LINE_WRITER: LineWriterOptions = {
  // An estimate: an entry serves some 20 requests a second, a few lines each.
  maxLinesPerS: 1000,
  usualShare: 0.7,
  maxWaitingBytes: 256 * 1024,
};

const WINDOW_MS = 1000;

/** Lines of failures begin their level field like this. */
const FAILURE = /"level":"(warn|error)"/;

export class LineWriter {
  private windowBeganMs = -Infinity;
  private inWindow = 0;
  private leftOut = 0;

  constructor(
    private readonly out: Pick<Writable, 'write' | 'writableLength'>,
    private readonly options: LineWriterOptions = DEFAULT_LINE_WRITER,
    private readonly nowMs: () => number = () => performance.now(),
  ) {}

  /** Lines left out since the last line that told their number. */
  get waitingToTell(): number {
    return this.leftOut;
  }

  write(line: string): void {
    const {maxLinesPerS, usualShare, maxWaitingBytes} = this.options;
    const now = this.nowMs();
    if (now - this.windowBeganMs >= WINDOW_MS) {
      this.windowBeganMs = now;
      this.inWindow = 0;
    }
    const share = FAILURE.test(line) ? 1 : usualShare;
    const isStalled = this.out.writableLength > maxWaitingBytes;
    if (isStalled || this.inWindow >= maxLinesPerS * share) {
      this.leftOut++;
      return;
    }
    this.inWindow++;
    this.tellLeftOut();
    this.out.write(line + '\n');
  }

  private tellLeftOut(): void {
    if (this.leftOut === 0) return;
    const message = 'log lines left out';
    const line = {level: 'warn', message, lines: this.leftOut};
    this.leftOut = 0;
    this.out.write(JSON.stringify(line) + '\n');
  }
}
