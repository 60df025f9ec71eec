/** Owns resources and disposes of them together, the last added first. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = [];
  private isDisposed = false;

  /** Adds `item` and returns it; disposes of it at once if disposed already. */
  add<T extends Disposable>(item: T): T {
    if (this.isDisposed) item[Symbol.dispose]();
    else this.items.push(item);
    return item;
  }

  /** Registers a function that is called when the store is disposed. */
  defer(release: () => void): void {
    this.add({[Symbol.dispose]: release});
  }

  /** Registers a repeating timer that does not keep the process alive. */
  addInterval(run: () => void, periodMs: number): void {
    const timer = setInterval(run, periodMs);
    timer.unref();
    this.defer(() => clearInterval(timer));
  }

  [Symbol.dispose](): void {
    if (this.isDisposed) return;
    this.isDisposed = true;
    for (const item of this.items.splice(0).reverse()) item[Symbol.dispose]();
  }
}
