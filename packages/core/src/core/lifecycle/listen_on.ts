/** Opens a listener; errors name the setting of its port. */
import type {Server} from 'node:net';

/** A listener could not be opened. Operators read the message. */
export class ListenError extends Error {
  constructor(setting: string, address: string, cause: string) {
    super(`cannot listen on ${address} (${setting}): ${cause}`);
    this.name = 'ListenError';
  }
}

const CAUSE_BY_ERROR_CODE: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is in use by another process',
  EADDRNOTAVAIL: 'this machine does not have the address',
  EACCES: 'this user may not open the port',
};

/**
 * Resolves when the server listens.
 *
 * @param setting key of the port in the settings file.
 * @param backlog highest number of connections that wait to be accepted.
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
      const cause = CAUSE_BY_ERROR_CODE[error.code ?? ''] ?? error.message;
      reject(new ListenError(setting, `${host}:${port}`, cause));
    });
    server.listen(port, host, backlog, resolve);
  });
}
