/** Decides which requests may use a free slot and which sequence to preempt. */
import type {RequestId, WorkspaceId} from '../ids/ids.js';
import {RANKS, rankIndex, type Rank} from '../ids/rank.js';

export interface RunningSequence {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly weight: number;
  readonly rank: Rank;
  /** Prompt and generated tokens, which run again after a preemption. */
  readonly positions: number;
  /** From `FairQueue.usedReservedShare`; such a sequence is never preempted. */
  readonly usedReservedShare: boolean;
}

export interface SlotCandidate {
  readonly workspace: WorkspaceId;
  readonly weight: number;
  readonly rank: Rank;
}

export interface SlotRuleOptions {
  /** Number of slots that overnight sequences leave free. */
  readonly urgentReserveSlots: number;
  /**
   * Fraction of the slots that is kept free for workspaces that use few, so
   * that a small workspace does not wait until a large one ends a sequence.
   */
  readonly smallWorkspaceReserveFraction?: number;
}

export type SlotFilter = (
  candidate: SlotCandidate,
  isReserved: boolean,
) => boolean;

/** Slots of one head, which is the first server of a chain. */
export interface SlotState {
  /** Number of slots, free or in use. */
  readonly limit: number;
  readonly running: readonly RunningSequence[];
  readonly isUrgentWaiting: boolean;
}

/**
 * Reserves 5 of 32 slots. In the bench `fairness`, small workspaces miss their
 * target for five, two and one of the seeds 1 to 5 with 2, 3 and 4 slots, and
 * with 5 slots only for two of the seeds 7 to 15 (see
 * docs/decisions/1-queueing.md).
 */
const DEFAULT_SMALL_WORKSPACE_RESERVE_FRACTION = 0.16;

/**
 * A workspace counts as small while it uses at most this fraction of the slots
 * of the largest workspace. One half would delay bursts of small workspaces.
 */
const SMALL_WORKSPACE_MAX_FRACTION_OF_LARGEST = 0.75;

export class SlotRules {
  constructor(private readonly options: SlotRuleOptions) {}

  /**
   * Returns the filter for `FairQueue.next`. Overnight requests use the slots
   * reserved for urgent requests and small workspaces only when they are served
   * on their reserved share. Without this exception, lasting urgent overload
   * would leave them no slot at all.
   */
  createFilter(state: SlotState): SlotFilter {
    const free = state.limit - state.running.length;
    if (free <= 0) return () => false;
    const workspaces = new WorkspaceSlots(state.limit, state.running);
    const reserveFraction =
      this.options.smallWorkspaceReserveFraction ??
      DEFAULT_SMALL_WORKSPACE_RESERVE_FRACTION;
    const smallReserve = Math.floor(reserveFraction * state.limit);
    const overnightReserve = Math.min(
      Math.max(smallReserve, this.options.urgentReserveSlots),
      state.limit - 1,
    );
    const preemptibleCount = state.running.filter(isPreemptible).length;
    return (candidate, isReserved) => {
      const {rank} = candidate;
      if (rank === 'overnight') return isReserved || free > overnightReserve;
      const available = rank === 'urgent' ? free + preemptibleCount : free;
      return available > smallReserve || workspaces.isSmall(candidate);
    };
  }

  /**
   * Returns the overnight sequence to preempt if an urgent request waits and no
   * slot is free. It is the one with the fewest tokens to run again, the last
   * among equals. Sequences served on the reserved share are exempt: otherwise
   * lasting urgent overload would preempt each as soon as it got a slot.
   */
  selectVictim(state: SlotState): RunningSequence | undefined {
    const {limit, running, isUrgentWaiting} = state;
    if (!isUrgentWaiting || running.length < limit) return undefined;
    return running
      .filter(isPreemptible)
      .reduce<RunningSequence | undefined>(
        (best, sequence) =>
          best && best.positions < sequence.positions ? best : sequence,
        undefined,
      );
  }
}

function isPreemptible({rank, usedReservedShare}: RunningSequence): boolean {
  return rank === 'overnight' && !usedReservedShare;
}

/** Compares the slots of a workspace with its fair part of its rank's slots. */
class WorkspaceSlots {
  /** Slots in use, by rank and workspace. */
  private readonly slotsInUse = new Map<string, number>();
  private readonly weightsByRank = RANKS.map(
    () => new Map<WorkspaceId, number>(),
  );
  private readonly slotsByRank = RANKS.map(() => 0);

  constructor(
    private readonly limit: number,
    running: SlotState['running'],
  ) {
    for (const {workspace, weight, rank} of running) {
      const key = `${rank}/${workspace}`;
      this.slotsInUse.set(key, (this.slotsInUse.get(key) ?? 0) + 1);
      this.weightsByRank[rankIndex(rank)].set(workspace, weight);
      this.slotsByRank[rankIndex(rank)]++;
    }
  }

  /**
   * Whether the candidate's workspace is small with one more slot: it has none
   * yet, or it stays within its fair part of the slots that higher ranks leave,
   * or well below the largest workspace, all by weight. The last rule is for
   * many small workspaces, whose fair part is less than a burst of one.
   */
  isSmall({workspace, weight, rank}: SlotCandidate): boolean {
    const held = this.slotsInUse.get(`${rank}/${workspace}`) ?? 0;
    if (held === 0) return true;
    const index = rankIndex(rank);
    const higherRankSlots = sum(this.slotsByRank.slice(0, index));
    const totalWeight = sum([...this.weightsByRank[index].values()]);
    const fairSlots = ((this.limit - higherRankSlots) * weight) / totalWeight;
    return (
      held + 1 <=
      Math.max(
        fairSlots,
        this.maxSlotsPerWeight(rank) *
          weight *
          SMALL_WORKSPACE_MAX_FRACTION_OF_LARGEST,
      )
    );
  }

  /** Highest number of slots divided by weight of a workspace in the rank. */
  private maxSlotsPerWeight(rank: Rank): number {
    const weights = [...this.weightsByRank[rankIndex(rank)]];
    return weights.reduce((most, [workspace, weight]) => {
      const held = this.slotsInUse.get(`${rank}/${workspace}`) ?? 0;
      return Math.max(most, held / weight);
    }, 0);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
