/** Registers a backend server in the key-value service, once at each start. */
import {
  SERVERS_PREFIX,
  type KeyValueService,
  type ServerRegistration,
} from '@azurecrank/core';

export type RegistrationDraft = Omit<ServerRegistration, 'epoch'>;

const RETRY_MS = 500;

/**
 * Writes the registration with an epoch above that of every earlier side
 * process of this server; retries until the key-value service takes it.
 */
export async function registerServer(
  keyValue: KeyValueService,
  draft: RegistrationDraft,
): Promise<ServerRegistration> {
  const key = SERVERS_PREFIX + draft.server;
  for (;;) {
    const registration = await tryRegister(keyValue, key, draft);
    if (registration) return registration;
    await new Promise(resolve => setTimeout(resolve, RETRY_MS));
  }
}

async function tryRegister(
  keyValue: KeyValueService,
  key: string,
  draft: RegistrationDraft,
): Promise<ServerRegistration | undefined> {
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
    return outcome.kind === 'written' ? registration : undefined;
  } catch {
    return undefined;
  }
}

function isSame(earlier: ServerRegistration, draft: RegistrationDraft) {
  return earlier.instance === draft.instance && earlier.state === draft.state;
}
