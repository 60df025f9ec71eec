/** Memory of the request ids that this process has received. */
import type {CallResult, RanState, Refused, RequestId} from '@azurecrank/core';

export type CallAnswer = CallResult | Refused;

/**
 * `waiting`: the service is not called yet; `calling`: the call was started;
 * `finished`: the answer is known; `blocked`: a cancel came before the call.
 */
export type CallPhase = 'waiting' | 'calling' | 'finished' | 'blocked';

export interface SeenCall {
  phase: CallPhase;
  /** Whether a cancel came before the service was called. */
  cancelled: boolean;
  /** Whether the call took effect; final once `finished`. */
  ran: RanState;
  /** The answer, for a duplicate of the call; dropped after a while. */
  answer?: Promise<CallAnswer>;
  /** Takes the call out of the queue. */
  withdraw: () => void;
  readonly receivedMs: number;
}

/**
 * Ids are kept longer than any duplicate can arrive: deadlines are bounded by
 * `maxDeadlineMs`, and a silent TCP connection delivers what it has buffered
 * within about 15 minutes or is reset.
 */
const KEEP_IDS_MS = 30 * 60_000;

/** Answers kept whole for duplicates; further duplicates are refused. */
const KEEP_ANSWERS = 256;

export class SeenCalls {
  private readonly calls = new Map<RequestId, SeenCall>();
  private readonly withAnswer: SeenCall[] = [];

  constructor(private readonly maxIds: number) {}

  get(request: RequestId): SeenCall | undefined {
    return this.calls.get(request);
  }

  /**
   * Adds a request, or returns undefined when no id may be forgotten yet and
   * the table is full: forgetting one early could run a call twice.
   */
  add(request: RequestId, phase: CallPhase): SeenCall | undefined {
    const nowMs = performance.now();
    this.forgetOld(nowMs);
    if (this.calls.size >= this.maxIds) return undefined;
    const call: SeenCall = {
      phase,
      cancelled: phase === 'blocked',
      ran: 'unknown',
      withdraw: () => {},
      receivedMs: nowMs,
    };
    this.calls.set(request, call);
    return call;
  }

  /** Marks the end of the call and bounds the answers that are kept. */
  finish(call: SeenCall, ran: RanState): void {
    call.phase = 'finished';
    call.ran = ran;
    this.withAnswer.push(call);
    if (this.withAnswer.length <= KEEP_ANSWERS) return;
    const oldest = this.withAnswer.shift();
    if (oldest) oldest.answer = undefined;
  }

  /** Entries are in order of arrival, so the first ones are the oldest. */
  private forgetOld(nowMs: number): void {
    for (const [request, call] of this.calls) {
      const isOld = nowMs - call.receivedMs >= KEEP_IDS_MS;
      if (!isOld || call.phase === 'waiting' || call.phase === 'calling') {
        return;
      }
      this.calls.delete(request);
    }
  }
}
