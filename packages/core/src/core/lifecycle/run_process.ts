/** Start, signals and exit codes that both binaries share. */
import type {PeerAddress} from '../ids/ids.js';
import {SettingsError} from '../settings/read_settings.js';
import {ListenError} from './listen_on.js';

const EXIT_INVALID = 1;
const EXIT_FAILED = 70;

/** A process with a planned stop. */
export interface RunnableProcess {
  readonly peerAddress: PeerAddress;
  /** Returns the HTTP port. */
  start(): Promise<number>;
  stop(): Promise<void>;
}

/**
 * Runs a process until a stop signal. Prints one JSON line when it is ready.
 * Bad settings and ports that cannot be opened end it with exit code 1 and a
 * message on standard error, any other failure at start with 70.
 */
export async function runProcess(create: () => RunnableProcess): Promise<void> {
  try {
    const running = create();
    stopOnSignals(running);
    const httpPort = await running.start();
    const {peerAddress} = running;
    const line = JSON.stringify({ready: true, httpPort, peerAddress});
    process.stdout.write(line + '\n');
  } catch (error) {
    process.stderr.write(describe(error) + '\n');
    process.exit(isOperatorsFault(error) ? EXIT_INVALID : EXIT_FAILED);
  }
}

/** A repeated signal must not end a stop that waits for requests in flight. */
function stopOnSignals(running: RunnableProcess): void {
  let isStopping = false;
  const stop = async () => {
    if (isStopping) return;
    isStopping = true;
    await running.stop();
    process.exit(0);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function isOperatorsFault(error: unknown): error is Error {
  return error instanceof SettingsError || error instanceof ListenError;
}

function describe(error: unknown): string {
  if (isOperatorsFault(error)) return error.message;
  const text = error instanceof Error ? error.stack : String(error);
  return `unexpected error at start: ${text}`;
}
