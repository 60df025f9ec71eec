/** Opens a listener and names the setting at fault when that fails. */
import type {Server} from 'node:net';

/** A listener could not be opened; the message is for operators. */
export class ListenError extends Error {
  constructor(setting: string, address: string, cause: string) {
    super(`cannot listen on ${address} (${setting}): ${cause}`);
    this.name = 'ListenError';
  }
}

const CAUSES: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is in use by another process',
  EADDRNOTAVAIL: 'this machine does not have the address',
  EACCES: 'this user may not open the port',
};

/**
 * @param setting key of the port in the settings file.
 * @param backlog connections that may wait to be accepted.
 * @throws ListenError
 */
export async function listenOn(
  server: Server,
  host: string,
  port: number,
  setting: string,
  backlog?: number,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      const cause = CAUSES[error.code ?? ''] ?? error.message;
      reject(new ListenError(setting, `${host}:${port}`, cause));
    });
    server.listen(port, host, backlog, resolve);
  });
}
