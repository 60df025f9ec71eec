/**
 * The last report of each entry, on whichever way it came. A report that comes
 * twice, over two relays or again after a lost connection, counts once. Pure;
 * times are arguments.
 */
import {
  decodePart,
  type EntryReport,
  type InstanceId,
  type RelayedReport,
} from '@azurecrank/core';
import {
  MAX_STATE_AGE_MS,
  mergeStates,
  type EntryState,
  type HeardState,
} from './entry_state.js';
import {fromReport} from './report_codec.js';

/** How the entry of a report is connected. */
export interface DirectReport {
  /** Whether the entry goes by what this one sends it. */
  readonly isPrimary: boolean;
}

interface BoardEntry extends HeardState {
  readonly node: string;
  readonly instance: InstanceId;
  readonly seq: number;
  readonly body: Uint8Array;
  /** Undefined if the report came over another relay. */
  readonly direct: DirectReport | undefined;
  isForwarded: boolean;
}

/**
 * Time after which a report is passed on whose entry goes by another relay,
 * unless that relay has passed it on.
 */
const SECONDARY_DELAY_MS = 350;

export class ReportBoard {
  private readonly entries = new Map<string, BoardEntry>();
  private changeCount = 0;

  /** Rises with each report that says something else than the one before. */
  get revision(): number {
    return this.changeCount;
  }

  /**
   * Records a report; returns whether it is newer than the recorded one.
   * @param direct how its entry is connected; undefined if the report came over
   *     another relay
   * @throws FrameError if the body is unreadable
   */
  record(report: RelayedReport, nowMs: number, direct?: DirectReport): boolean {
    const {node, instance, seq, ageMs, body} = report;
    const heardAtMs = nowMs - ageMs;
    const known = this.entries.get(node);
    if (known && !isNewer({instance, seq, heardAtMs}, known)) return false;
    const isSame = known && Buffer.compare(body, known.body) === 0;
    const state = isSame
      ? known.state
      : fromReport(decodePart(body) as EntryReport);
    if (!isSame) this.changeCount++;
    this.entries.set(node, {
      node,
      instance,
      seq,
      body,
      state,
      heardAtMs,
      direct,
      isForwarded: false,
    });
    return true;
  }

  /** Drops the entries of which nothing counts any more. */
  expire(nowMs: number): void {
    for (const [node, {heardAtMs}] of this.entries) {
      if (nowMs - heardAtMs > MAX_STATE_AGE_MS) this.entries.delete(node);
    }
  }

  /** Combines the reports of all entries except some. */
  merge(excluded: ReadonlySet<string>, nowMs: number): EntryState {
    const heard = [...this.entries.values()].filter(
      ({node}) => !excluded.has(node),
    );
    return mergeStates(heard, nowMs);
  }

  /** The last state of an entry; undefined if nothing of it counts. */
  stateOf(node: string): HeardState | undefined {
    return this.entries.get(node);
  }

  /**
   * Returns the reports that other relays do not have yet, once each.
   * @param isUrgent whether they are due now, whoever else passes them on
   */
  takeUnforwarded(nowMs: number, isUrgent: boolean): RelayedReport[] {
    const due = [...this.entries.values()].filter(
      ({direct, isForwarded, heardAtMs}) =>
        direct !== undefined &&
        !isForwarded &&
        (isUrgent ||
          direct.isPrimary ||
          nowMs - heardAtMs >= SECONDARY_DELAY_MS),
    );
    for (const entry of due) entry.isForwarded = true;
    return due.map(entry => toRelayed(entry, nowMs));
  }

  /** All reports that did not come over another relay. */
  directReports(nowMs: number): RelayedReport[] {
    return [...this.entries.values()]
      .filter(({direct}) => direct !== undefined)
      .map(entry => toRelayed(entry, nowMs));
  }
}

function toRelayed(
  {node, instance, seq, body, heardAtMs}: BoardEntry,
  nowMs: number,
): RelayedReport {
  return {node, instance, seq, ageMs: Math.round(nowMs - heardAtMs), body};
}

type Version = Pick<BoardEntry, 'instance' | 'seq' | 'heardAtMs'>;

function isNewer(report: Version, known: Version): boolean {
  if (known.instance === report.instance) return report.seq > known.seq;
  // A late report of an earlier instance may arrive over another relay.
  return report.heardAtMs > known.heardAtMs;
}
