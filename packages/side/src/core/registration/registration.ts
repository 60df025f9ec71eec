/** Registers a backend server in the key-value service, once at each start. */
import {
  SERVERS_PREFIX,
  type KeyValueService,
  type Logger,
  type ServerRegistration,
} from '@azurecrank/core';

export type RegistrationDraft = Omit<ServerRegistration, 'epoch'>;

const RETRY_MS = 500;

/** One in so many failed tries is logged. */
const LOGGED_ATTEMPTS = 10;

/**
 * Writes the registration with an epoch above that of every earlier side
 * process of this server; retries until the key-value service takes it.
 */
export async function registerServer(
  keyValue: KeyValueService,
  draft: RegistrationDraft,
  logger?: Logger,
): Promise<ServerRegistration> {
  const key = SERVERS_PREFIX + draft.server;
  for (let attempt = 0; ; attempt++) {
    const result = await tryRegister(keyValue, key, draft);
    if (typeof result !== 'string') return result;
    if (attempt % LOGGED_ATTEMPTS === 0) {
      logger?.warn('server could not be registered; tries again', {
        server: draft.server,
        cause: result,
      });
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_MS));
  }
}

/** Returns the cause of a failure as text. */
async function tryRegister(
  keyValue: KeyValueService,
  key: string,
  draft: RegistrationDraft,
): Promise<ServerRegistration | string> {
  try {
    const entry = await keyValue.get(key);
    const earlier = entry && (JSON.parse(entry.value) as ServerRegistration);
    // The answer to an earlier try may have been lost after its effect.
    if (earlier && isSame(earlier, draft)) return earlier;
    const epoch = (earlier?.epoch ?? 0) + 1;
    const registration: ServerRegistration = {...draft, epoch};
    const outcome = await keyValue.compareAndSwap(
      key,
      JSON.stringify(registration),
      entry?.revision ?? 0,
    );
    if (outcome.kind === 'written') return registration;
    return outcome.kind === 'unknown' ? outcome.cause : outcome.kind;
  } catch (error) {
    return String(error);
  }
}

function isSame(earlier: ServerRegistration, draft: RegistrationDraft) {
  return earlier.instance === draft.instance && earlier.state === draft.state;
}
