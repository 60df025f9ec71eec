/** Owner of resources that are released together, last added first. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = [];
  private disposed = false;

  /** Takes ownership of `item` and returns it. */
  add<T extends Disposable>(item: T): T {
    if (this.disposed) item[Symbol.dispose]();
    else this.items.push(item);
    return item;
  }

  /** Registers a function that runs when the store is disposed. */
  defer(release: () => void): void {
    this.add({[Symbol.dispose]: release});
  }

  /** Registers a repeating timer that does not keep the process alive. */
  interval(run: () => void, periodMs: number): void {
    const timer = setInterval(run, periodMs);
    timer.unref();
    this.defer(() => clearInterval(timer));
  }

  [Symbol.dispose](): void {
    if (this.disposed) return;
    this.disposed = true;
    for (const item of this.items.splice(0).reverse()) item[Symbol.dispose]();
  }
}
