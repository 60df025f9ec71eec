/** Starts the programs of this repository as child processes. */
import {spawn, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const PACKAGES_DIRECTORY = fileURLToPath(
  new URL('../../../../', import.meta.url),
);
const MAX_LOG_LINES = 200;

const PROGRAM_PATHS = {
  standin: 'standins/dist/src/cli/main.js',
  side: 'side/bin/azurecrank_side.js',
  azurecrank: 'azurecrank/bin/azurecrank.js',
} as const;

export type Program = keyof typeof PROGRAM_PATHS;

const TERMINATION_SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM', 'SIGHUP'];
const runningChildren = new Set<ChildProcess>();

function killRunningChildren(): void {
  for (const child of runningChildren) child.kill('SIGKILL');
}

process.once('exit', killRunningChildren);
for (const signal of TERMINATION_SIGNALS) {
  process.once(signal, () => process.exit(1));
}

/** A child process that prints one line of JSON when it is ready. */
export class ChildProgram implements Disposable {
  /** Most recent lines of standard error. */
  readonly logLines: string[] = [];
  private readonly child: ChildProcess;
  private readonly exited: Promise<number | null>;
  private readonly readyLine: Promise<unknown>;

  constructor(
    readonly name: string,
    program: Program,
    args: readonly string[],
  ) {
    this.child = spawn(process.execPath, [
      PACKAGES_DIRECTORY + PROGRAM_PATHS[program],
      ...args,
    ]);
    runningChildren.add(this.child);
    this.exited = new Promise(resolve => {
      this.child.once('exit', code => {
        runningChildren.delete(this.child);
        resolve(code);
      });
    });
    this.readyLine = this.readFirstLine();
    this.child.stderr?.on('data', chunk => this.appendLog(String(chunk)));
  }

  /** Waits for the first line of standard output and returns it parsed as JSON. */
  async waitUntilReady<T>(): Promise<T> {
    const earlyExit = this.exited.then(code => {
      const log = this.logLines.join('\n');
      throw new Error(
        `${this.name} exited with code ${code} before it was ready\n${log}`,
      );
    });
    return (await Promise.race([this.readyLine, earlyExit])) as T;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code, or null if a signal ended the process. */
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

  private appendLog(text: string): void {
    this.logLines.push(...text.split('\n').filter(line => line !== ''));
    this.logLines.splice(0, Math.max(0, this.logLines.length - MAX_LOG_LINES));
  }
}
