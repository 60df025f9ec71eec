/**
 * Writes log lines without blocking on a slow reader. Lines beyond the rate
 * limit, and lines while too many bytes are buffered, are dropped and counted.
 */
import type {Writable} from 'node:stream';

export interface LineWriterOptions {
  /** Maximum lines per second; warnings and errors may use all of them. */
  readonly maxLinesPerSecond: number;
  /** Fraction of the maximum for lines that are neither warnings nor errors. */
  readonly routineLineFraction: number;
  /** Buffered bytes above which lines are dropped. */
  readonly maxBufferedBytes: number;
}

export const DEFAULT_LINE_WRITER_OPTIONS: LineWriterOptions = {
  // An entry serves about 20 requests per second, with a few lines each.
  maxLinesPerSecond: 1000,
  routineLineFraction: 0.7,
  maxBufferedBytes: 256 * 1024,
};

/** Length of the window in which lines are counted for the rate limit. */
const WINDOW_MS = 1000;

/** Matches the level field of warnings and errors. */
const FAILURE_LEVEL = /"level":"(warn|error)"/;

export class LineWriter {
  private windowStartMs = -Infinity;
  private linesInWindow = 0;
  private droppedLines = 0;

  constructor(
    private readonly out: Pick<Writable, 'write' | 'writableLength'>,
    private readonly options: LineWriterOptions = DEFAULT_LINE_WRITER_OPTIONS,
    private readonly nowMs: () => number = () => performance.now(),
  ) {}

  /** Lines dropped since their number was last reported. */
  get unreportedDroppedLines(): number {
    return this.droppedLines;
  }

  write(line: string): void {
    const {maxLinesPerSecond, routineLineFraction, maxBufferedBytes} =
      this.options;
    const now = this.nowMs();
    if (now - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = now;
      this.linesInWindow = 0;
    }
    const fraction = FAILURE_LEVEL.test(line) ? 1 : routineLineFraction;
    const isBufferFull = this.out.writableLength > maxBufferedBytes;
    if (isBufferFull || this.linesInWindow >= maxLinesPerSecond * fraction) {
      this.droppedLines++;
      return;
    }
    this.linesInWindow++;
    this.reportDroppedLines();
    this.out.write(line + '\n');
  }

  private reportDroppedLines(): void {
    if (this.droppedLines === 0) return;
    const message = 'log lines left out';
    const line = {level: 'warn', message, lines: this.droppedLines};
    this.droppedLines = 0;
    this.out.write(JSON.stringify(line) + '\n');
  }
}
