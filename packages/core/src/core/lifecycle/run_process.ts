/** Runs a process: start, stop signals and exit codes. */
import type {PeerAddress} from '../ids/ids.js';
import {SettingsError} from '../settings/read_settings.js';
import {ListenError} from './listen_on.js';

const EXIT_CODE_INVALID_SETTINGS = 1;
const EXIT_CODE_START_FAILED = 70;

/** A process that can be started and stopped gracefully. */
export interface RunnableProcess {
  readonly peerAddress: PeerAddress;
  /** Starts the process and returns its HTTP port. */
  start(): Promise<number>;
  stop(): Promise<void>;
}

/**
 * Runs a process until a stop signal and prints one JSON line when it is ready.
 * Invalid settings and ports that cannot be opened end it with exit code 1 and
 * any other failure at the start with 70, with a message on standard error.
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
    process.stderr.write(describeStartError(error) + '\n');
    process.exit(
      isSettingsProblem(error)
        ? EXIT_CODE_INVALID_SETTINGS
        : EXIT_CODE_START_FAILED,
    );
  }
}

/** Ignores repeated signals while the stop waits for requests in flight. */
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

function isSettingsProblem(error: unknown): error is Error {
  return error instanceof SettingsError || error instanceof ListenError;
}

function describeStartError(error: unknown): string {
  if (isSettingsProblem(error)) return error.message;
  const text = error instanceof Error ? error.stack : String(error);
  return `unexpected error at start: ${text}`;
}
