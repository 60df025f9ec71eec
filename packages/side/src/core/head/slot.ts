/** A queued request, and the slot that it holds once it is granted. */
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

/** Estimates the prompt's length before it is tokenized. */
const ESTIMATED_CHARS_PER_TOKEN = 4;

export interface QueuedOpen extends QueuedItem {
  readonly open: Open;
}

export function toQueuedOpen(
  open: Open,
  expectedOutputTokens: number,
  nowMs: number,
): QueuedOpen {
  const {request, workspace, weight, rank, prompt} = open;
  const promptTokens = Math.ceil(prompt.length / ESTIMATED_CHARS_PER_TOKEN);
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
  /** Number of positions that the entry has sent so far. */
  positions = 0;
  private lastStepAtMs: number;

  constructor(
    readonly item: QueuedOpen,
    readonly usedReservedShare: boolean,
    nowMs: number,
  ) {
    this.lastStepAtMs = nowMs;
  }

  /** Time of the grant or of the last step, by `performance.now()`. */
  get lastUsedAtMs(): number {
    return this.lastStepAtMs;
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

  get promptTokenCount(): number {
    return this.promptTokens?.length ?? 0;
  }

  /** Key under which the transport awaits an answer to `granted`. */
  get grantKey(): string {
    return `granted:${this.request}`;
  }

  /**
   * Records a step. Returns the time since the previous step if this one decodes
   * the next token; the first decode is left out, since its time includes the
   * prefill.
   */
  recordStep(message: StepMessage, nowMs: number): number | undefined {
    const endPosition = message.position + message.tokens.length;
    const isDecode =
      message.tokens.length === 1 && endPosition === this.positions + 1;
    const isFirstDecode = this.positions <= this.promptTokenCount;
    const betweenMs = nowMs - this.lastStepAtMs;
    this.positions = Math.max(this.positions, endPosition);
    this.lastStepAtMs = nowMs;
    return isDecode && !isFirstDecode ? betweenMs : undefined;
  }
}
