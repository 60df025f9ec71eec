/** A waiting request and the slot it takes when it is granted. */
import type {
  AttemptId,
  Open,
  QueuedItem,
  Rank,
  RequestId,
  RunningSequence,
  StepMessage,
  WorkspaceId,
} from '@azurecrank/core';

/** Rough length of a token, used before the prompt is tokenized. */
const CHARS_PER_TOKEN = 4;

export interface QueuedOpen extends QueuedItem {
  readonly open: Open;
}

export function toQueuedOpen(
  open: Open,
  expectedOutputTokens: number,
  nowMs: number,
): QueuedOpen {
  const {request, workspace, weight, rank, prompt} = open;
  const promptTokens = Math.ceil(prompt.length / CHARS_PER_TOKEN);
  return {
    open,
    request,
    workspace,
    weight,
    rank,
    costTokens: promptTokens + expectedOutputTokens,
    deadlineAtMs: nowMs + open.deadlineMs,
    firstTokenDeadlineAtMs: nowMs + open.firstTokenDeadlineMs,
    enqueuedAtMs: nowMs,
  };
}

export class Slot implements RunningSequence {
  promptTokens: readonly number[] | undefined;
  isPreempted = false;
  /** Positions that the entry has sent so far. */
  positions = 0;
  private lastStepMs: number;

  constructor(
    readonly item: QueuedOpen,
    readonly usedReservedShare: boolean,
    nowMs: number,
  ) {
    this.lastStepMs = nowMs;
  }

  /** Time of the grant or of the last step, by `performance.now()`. */
  get lastUsedMs(): number {
    return this.lastStepMs;
  }

  get request(): RequestId {
    return this.item.request;
  }

  get workspace(): WorkspaceId {
    return this.item.workspace;
  }

  get weight(): number {
    return this.item.weight;
  }

  get rank(): Rank {
    return this.item.rank;
  }

  get attempt(): AttemptId {
    return this.item.open.attempt;
  }

  get promptLength(): number {
    return this.promptTokens?.length ?? 0;
  }

  get grantKey(): string {
    return `granted:${this.request}`;
  }

  /** Returns the time since the step before, if this is the next one. */
  noteStep(message: StepMessage, nowMs: number): number | undefined {
    const end = message.position + message.tokens.length;
    const isDecode = message.tokens.length === 1 && end === this.positions + 1;
    const isFirstDecode = this.positions <= this.promptLength;
    const betweenMs = nowMs - this.lastStepMs;
    this.positions = Math.max(this.positions, end);
    this.lastStepMs = nowMs;
    return isDecode && !isFirstDecode ? betweenMs : undefined;
  }
}
