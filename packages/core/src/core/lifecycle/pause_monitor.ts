/**
 * Detects pauses of this process's event loop, so that messages it could not
 * receive in time are not counted as silence of its peers.
 */
const TICK_INTERVAL_MS = 50;
const DEFAULT_PAUSE_THRESHOLD_MS = 200;

export type PauseListener = (pausedMs: number) => void;

export class PauseMonitor implements Disposable {
  private lastTickMs = performance.now();
  private readonly timer: NodeJS.Timeout;
  private readonly listeners: PauseListener[] = [];
  private lastPauseEndMs = -Infinity;

  constructor(private readonly thresholdMs = DEFAULT_PAUSE_THRESHOLD_MS) {
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    this.timer.unref();
  }

  onPause(listener: PauseListener): void {
    this.listeners.push(listener);
  }

  /** Whether a pause of the event loop ended within the last `windowMs`. */
  wasPausedWithin(windowMs: number): boolean {
    this.tick();
    return performance.now() - this.lastPauseEndMs < windowMs;
  }

  /**
   * Reports a pause if the last tick is too long ago. Also called before
   * decisions that a pause would distort.
   */
  tick(): void {
    const nowMs = performance.now();
    const pausedMs = nowMs - this.lastTickMs - TICK_INTERVAL_MS;
    this.lastTickMs = nowMs;
    if (pausedMs < this.thresholdMs) return;
    this.lastPauseEndMs = nowMs;
    for (const listener of this.listeners) listener(pausedMs);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }
}
