/** The entries that report to a relay, and when it answers each. Pure. */
import {ENTRY_ALIVE_MS} from './entry_state.js';
import {
  REPORT_INTERVAL_MS,
  UNCHANGED_REPORT_INTERVAL_MS,
  isDue,
} from './report_timing.js';

interface Member {
  /** Whether the entry goes by what this one sends it. */
  readonly isPrimary: boolean;
  readonly reportedAtMs: number;
  readonly answeredAtMs: number;
  /** Revision of the board in the last answer. */
  readonly answeredRevision: number;
}

export class RelayMembers {
  private readonly members = new Map<string, Member>();

  get size(): number {
    return this.members.size;
  }

  recordReport(node: string, isPrimary: boolean, nowMs: number): void {
    this.members.set(node, {
      answeredAtMs: -Infinity,
      answeredRevision: -1,
      ...this.members.get(node),
      isPrimary,
      reportedAtMs: nowMs,
    });
  }

  /** Forgets the entries that no longer report. */
  expire(nowMs: number): void {
    for (const [node, {reportedAtMs}] of this.members) {
      if (nowMs - reportedAtMs > ENTRY_ALIVE_MS) this.members.delete(node);
    }
  }

  /**
   * Returns the entries to answer and takes them for answered.
   * @param revision that of the report board
   */
  takeDue(revision: number, isUrgent: boolean, nowMs: number): string[] {
    const due = [...this.members].filter(
      ([, member]) => isUrgent || isAnswerDue(member, revision, nowMs),
    );
    for (const [node, member] of due) {
      const answered = {answeredAtMs: nowMs, answeredRevision: revision};
      this.members.set(node, {...member, ...answered});
    }
    return due.map(([node]) => node);
  }
}

/** An entry that goes by another relay only wants to know that this one runs. */
function isAnswerDue(member: Member, revision: number, nowMs: number): boolean {
  const {isPrimary, reportedAtMs, answeredAtMs, answeredRevision} = member;
  const isUnanswered = reportedAtMs > answeredAtMs;
  if (!isPrimary) return isUnanswered;
  const isNew = isUnanswered || answeredRevision !== revision;
  const intervalMs = isNew ? REPORT_INTERVAL_MS : UNCHANGED_REPORT_INTERVAL_MS;
  return isDue(answeredAtMs, intervalMs, nowMs);
}
