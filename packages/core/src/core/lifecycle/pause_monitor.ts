/**
 * Detects pauses of this process's own event loop, so that its silence is not
 * blamed on peers.
 */
const TICK_MS = 50;
const DEFAULT_PAUSE_THRESHOLD_MS = 200;

export type PauseListener = (pausedMs: number) => void;

export class PauseMonitor implements Disposable {
  private lastTickMs = performance.now();
  private readonly timer: NodeJS.Timeout;
  private readonly listeners: PauseListener[] = [];
  private lastPauseEndMs = -Infinity;

  constructor(private readonly thresholdMs = DEFAULT_PAUSE_THRESHOLD_MS) {
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.timer.unref();
  }

  onPause(listener: PauseListener): void {
    this.listeners.push(listener);
  }

  /** Whether the loop was paused within the last `windowMs`. */
  pausedWithin(windowMs: number): boolean {
    this.tick();
    return performance.now() - this.lastPauseEndMs < windowMs;
  }

  /** Compares the clock with the last tick; also called before decisions. */
  tick(): void {
    const nowMs = performance.now();
    const pausedMs = nowMs - this.lastTickMs - TICK_MS;
    this.lastTickMs = nowMs;
    if (pausedMs < this.thresholdMs) return;
    this.lastPauseEndMs = nowMs;
    for (const listener of this.listeners) listener(pausedMs);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }
}
