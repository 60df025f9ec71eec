/**
 * Chooses the relay that an entry goes by: the first of its candidates that
 * answers and hears of as many entries as the others. Pure; times are arguments.
 */
import type {PeerAddress} from '@azurecrank/core';
import {RELAYS_PER_GROUP, type RelayPlan} from './relay_plan.js';

/** Time after an unanswered report from which a relay does not count. */
const SILENCE_MS = 700;

/** Time after which an unanswered report is repeated. */
const REPEAT_AFTER_MS = 300;

/** A relay that no report went to for this time is taken for unknown. */
const FORGET_AFTER_MS = 3000;

/** A relay is passed over that hears of fewer than this part of the entries. */
const MIN_COVERAGE_FRACTION = 0.8;

export interface RelayAnswer {
  /** Number of entries that the relay hears of. */
  readonly entries: number;
  readonly isStopping: boolean;
}

interface Candidate {
  lastReportAtMs: number;
  /** Time of the first report since the last answer. */
  unansweredSinceMs: number | undefined;
  answer: RelayAnswer | undefined;
}

export class RelayChoice {
  private readonly candidates = new Map<PeerAddress, Candidate>();

  /** Records that a report was sent to a relay. */
  recordReport(address: PeerAddress, nowMs: number): void {
    // Entries that were replaced at another address are not asked again.
    for (const other of this.candidates.keys()) this.find(other, nowMs);
    const known = this.find(address, nowMs);
    this.candidates.set(address, {
      lastReportAtMs: nowMs,
      unansweredSinceMs: known?.unansweredSinceMs ?? nowMs,
      answer: known?.answer,
    });
  }

  recordAnswer(address: PeerAddress, answer: RelayAnswer): void {
    const known = this.candidates.get(address);
    if (!known) return;
    known.unansweredSinceMs = undefined;
    known.answer = answer;
  }

  /** Records that a relay cannot be reached. */
  recordDown(address: PeerAddress): void {
    const known = this.candidates.get(address);
    if (known) known.unansweredSinceMs = -Infinity;
  }

  /** Whether the relay has not answered a report within a usual time. */
  isUnanswered(address: PeerAddress, nowMs: number): boolean {
    const sinceMs = this.find(address, nowMs)?.unansweredSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs >= REPEAT_AFTER_MS;
  }

  /** The relays of the entry's group. */
  relays({candidates}: RelayPlan): readonly PeerAddress[] {
    return candidates.slice(0, RELAYS_PER_GROUP);
  }

  /** Relays of the group that answer, the best first. */
  alive(plan: RelayPlan, nowMs: number): PeerAddress[] {
    const primary = this.primary(plan, nowMs);
    const alive = this.relays(plan).filter(address =>
      this.answers(address, nowMs),
    );
    const first = alive.filter(address => address === primary);
    return [...first, ...alive.filter(address => address !== primary)];
  }

  /** The relay that the entry goes by; undefined if there is no candidate. */
  primary(plan: RelayPlan, nowMs: number): PeerAddress | undefined {
    const {candidates} = plan;
    const answering = candidates.filter(address =>
      this.answers(address, nowMs),
    );
    const entries = (address: PeerAddress) =>
      this.candidates.get(address)?.answer?.entries ?? 0;
    const mostEntries = Math.max(0, ...answering.map(entries));
    const best = answering.find(
      address => entries(address) >= mostEntries * MIN_COVERAGE_FRACTION,
    );
    if (best !== undefined) return best;
    return candidates.find(address => this.mayAnswer(address, nowMs));
  }

  private answers(address: PeerAddress, nowMs: number): boolean {
    const known = this.find(address, nowMs);
    if (!known?.answer || known.answer.isStopping) return false;
    return !isSilent(known, nowMs);
  }

  /** Whether the relay was not asked yet, or not for long enough. */
  private mayAnswer(address: PeerAddress, nowMs: number): boolean {
    const known = this.find(address, nowMs);
    if (!known) return true;
    return !known.answer?.isStopping && !isSilent(known, nowMs);
  }

  private find(address: PeerAddress, nowMs: number): Candidate | undefined {
    const known = this.candidates.get(address);
    if (!known || nowMs - known.lastReportAtMs <= FORGET_AFTER_MS) return known;
    this.candidates.delete(address);
    return undefined;
  }
}

function isSilent({unansweredSinceMs}: Candidate, nowMs: number): boolean {
  return (
    unansweredSinceMs !== undefined && nowMs - unansweredSinceMs > SILENCE_MS
  );
}
