/** The state that the entries of the peer benchmark report. */
import {EMPTY_STATE, type EntryState} from '@azurecrank/forwarding';

/** Chains of a model in front of 130 servers. */
const CHAINS = 13;

const SERVICE_COUNTS = ['model', 'desk'];

/**
 * Returns a report of usual size.
 * @param round changes the report from one round to the next
 */
export function usualState(round: number): EntryState {
  const usedTokens = Object.fromEntries(
    Array.from({length: CHAINS}, (_, i) => [
      `10.1.64.${i}:8445`,
      860 * ((round + i) % 4),
    ]),
  );
  const retries = SERVICE_COUNTS.map(service => ({
    service: service as EntryState['retries'][number]['service'],
    requests: 30 + (round % 7),
    retries: 0,
  }));
  return {...EMPTY_STATE, usedTokens, retries};
}
