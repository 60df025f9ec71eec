/** Table of received request ids, which detects duplicate calls. */
import type {
  CallResult,
  ExecutionState,
  Refused,
  RequestId,
} from '@azurecrank/core';

export type CallAnswer = CallResult | Refused;

/**
 * `waiting`: the service is not called yet; `calling`: the call was started;
 * `finished`: the answer is known; `blocked`: a cancel was received before the
 * call itself.
 */
export type CallPhase = 'waiting' | 'calling' | 'finished' | 'blocked';

export interface ReceivedCall {
  phase: CallPhase;
  /** Whether a cancel was received before the service was called. */
  cancelled: boolean;
  /** Whether the call took effect; final once `finished`. */
  ran: ExecutionState;
  /** Answer for duplicates; removed once `MAX_KEPT_ANSWERS` newer ones exist. */
  answer?: Promise<CallAnswer>;
  /** Removes the call from the queue. */
  withdraw: () => void;
  readonly receivedAtMs: number;
}

/**
 * Exceeds the time in which a duplicate can arrive: deadlines are bounded by
 * `maxDeadlineMs`, and a silent TCP connection delivers what it has buffered
 * within about 15 minutes or is reset.
 */
const REQUEST_ID_RETENTION_MS = 30 * 60_000;

/** Duplicates of calls whose answer is no longer kept are refused. */
const MAX_KEPT_ANSWERS = 256;

export class ReceivedCalls {
  private readonly calls = new Map<RequestId, ReceivedCall>();
  private readonly callsWithAnswer: ReceivedCall[] = [];

  constructor(private readonly maxRequestIds: number) {}

  get(request: RequestId): ReceivedCall | undefined {
    return this.calls.get(request);
  }

  /**
   * Adds a request. Returns undefined if the table is full and no id is expired
   * yet: removing an id early could run a call twice.
   */
  add(request: RequestId, phase: CallPhase): ReceivedCall | undefined {
    const nowMs = performance.now();
    this.removeExpired(nowMs);
    if (this.calls.size >= this.maxRequestIds) return undefined;
    const call: ReceivedCall = {
      phase,
      cancelled: phase === 'blocked',
      ran: 'unknown',
      withdraw: () => {},
      receivedAtMs: nowMs,
    };
    this.calls.set(request, call);
    return call;
  }

  /** Marks the call as finished and removes the oldest answer if needed. */
  finish(call: ReceivedCall, ran: ExecutionState): void {
    call.phase = 'finished';
    call.ran = ran;
    this.callsWithAnswer.push(call);
    if (this.callsWithAnswer.length <= MAX_KEPT_ANSWERS) return;
    const oldest = this.callsWithAnswer.shift();
    if (oldest) oldest.answer = undefined;
  }

  /** The map is in order of arrival, so the first entries are the oldest. */
  private removeExpired(nowMs: number): void {
    for (const [request, call] of this.calls) {
      const isExpired = nowMs - call.receivedAtMs >= REQUEST_ID_RETENTION_MS;
      if (!isExpired || call.phase === 'waiting' || call.phase === 'calling') {
        return;
      }
      this.calls.delete(request);
    }
  }
}
