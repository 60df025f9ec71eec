/**
 * Tells whether a state of the other entries is complete. A relay that is new,
 * or has just been chosen, has yet to hear of some of them; what it lacks must
 * not count as gone. Pure; times are arguments.
 */
import type {PeerAddress} from '@azurecrank/core';

/** Time for which an incomplete state is not applied. */
const INCOMPLETE_STATE_HOLD_MS = 1500;

/**
 * Part of the entries of the last state below which a state is incomplete that
 * comes from the same relay. One from another relay has to have them all.
 */
const MIN_COMPLETE_FRACTION = 0.9;

export class CompleteStates {
  /** The relay whose states arrive, or this entry itself. */
  private source = {address: '' as PeerAddress, sinceMs: -Infinity};
  /** The last complete state: its entries, the relay that sent it, the time. */
  private last = {entries: 0, source: '' as PeerAddress, atMs: -Infinity};

  /**
   * Records a state; returns whether it may replace the one before.
   * @param entries number of entries that the state is of
   * @param source the relay that it is from; the own address if there is none
   */
  accept(entries: number, source: PeerAddress, nowMs: number): boolean {
    const {last} = this;
    if (source !== this.source.address)
      this.source = {address: source, sinceMs: nowMs};
    const isSameSource = source === last.source;
    const minFraction = isSameSource ? MIN_COMPLETE_FRACTION : 1;
    const heldSinceMs = isSameSource ? last.atMs : this.source.sinceMs;
    const isComplete =
      entries >= last.entries * minFraction ||
      nowMs - heldSinceMs > INCOMPLETE_STATE_HOLD_MS;
    if (isComplete) this.last = {entries, source, atMs: nowMs};
    return isComplete;
  }
}
