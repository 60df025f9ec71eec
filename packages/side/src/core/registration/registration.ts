/** Registers a backend server in the key-value service at each start. */
import {
  SERVERS_PREFIX,
  type KeyValueService,
  type Logger,
  type ServerRegistration,
} from '@azurecrank/core';

/** Registration whose epoch is not assigned yet. */
export type RegistrationDraft = Omit<ServerRegistration, 'epoch'>;

const RETRY_INTERVAL_MS = 500;

/** One failed attempt out of this many is logged. */
const ATTEMPTS_PER_LOG_LINE = 10;

/**
 * Writes the registration with an epoch above that of every earlier side
 * process of this server. Retries until the key-value service accepts it.
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
    if (attempt % ATTEMPTS_PER_LOG_LINE === 0) {
      logger?.warn(
        'server could not be registered in the key-value service; retrying',
        {
          server: draft.server,
          cause: result,
        },
      );
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
  }
}

/** Returns the registration, or the cause of a failure as text. */
async function tryRegister(
  keyValue: KeyValueService,
  key: string,
  draft: RegistrationDraft,
): Promise<ServerRegistration | string> {
  try {
    const entry = await keyValue.get(key);
    const earlier = entry && (JSON.parse(entry.value) as ServerRegistration);
    // An earlier attempt may have been written although its answer was lost.
    if (earlier && isSameRegistration(earlier, draft)) return earlier;
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

function isSameRegistration(
  earlier: ServerRegistration,
  draft: RegistrationDraft,
) {
  return earlier.instance === draft.instance && earlier.state === draft.state;
}
