/** Starts programs of this workspace as separate processes. */
import {spawn, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const PACKAGES = fileURLToPath(new URL('../../../../', import.meta.url));
const KEPT_LOG_LINES = 200;

const PROGRAMS = {
  standin: 'standins/dist/src/cli/main.js',
  side: 'side/bin/azurecrank_side.js',
  azurecrank: 'azurecrank/bin/azurecrank.js',
} as const;

export type Program = keyof typeof PROGRAMS;

const ENDING_SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM', 'SIGHUP'];
const running = new Set<ChildProcess>();

function killAll(): void {
  for (const child of running) child.kill('SIGKILL');
}

process.once('exit', killAll);
for (const signal of ENDING_SIGNALS) {
  process.once(signal, () => process.exit(1));
}

/** A running program that prints one JSON line when it is ready. */
export class ChildProgram implements Disposable {
  readonly log: string[] = [];
  private readonly child: ChildProcess;
  private readonly exited: Promise<number | null>;
  private readonly readyLine: Promise<unknown>;

  constructor(
    readonly name: string,
    program: Program,
    args: readonly string[],
  ) {
    this.child = spawn(process.execPath, [
      PACKAGES + PROGRAMS[program],
      ...args,
    ]);
    running.add(this.child);
    this.exited = new Promise(resolve => {
      this.child.once('exit', code => {
        running.delete(this.child);
        resolve(code);
      });
    });
    this.readyLine = this.readFirstLine();
    this.child.stderr?.on('data', chunk => this.keepLog(String(chunk)));
  }

  /** Returns the first line of standard output, parsed. */
  async ready<T>(): Promise<T> {
    const early = this.exited.then(code => {
      const log = this.log.join('\n');
      throw new Error(`${this.name} ended with ${code} before ready\n${log}`);
    });
    return (await Promise.race([this.readyLine, early])) as T;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code, or null after a signal. */
  async waitForExit(): Promise<number | null> {
    return this.exited;
  }

  [Symbol.dispose](): void {
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
  }

  private readFirstLine(): Promise<unknown> {
    return new Promise(resolve => {
      let text = '';
      this.child.stdout?.on('data', chunk => {
        text += String(chunk);
        const end = text.indexOf('\n');
        if (end >= 0) resolve(JSON.parse(text.slice(0, end)));
      });
    });
  }

  private keepLog(text: string): void {
    this.log.push(...text.split('\n').filter(line => line !== ''));
    this.log.splice(0, Math.max(0, this.log.length - KEPT_LOG_LINES));
  }
}
