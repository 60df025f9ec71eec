/** Estimates from measured rates whether a request can meet its deadlines. */
export interface ServiceEstimate {
  /** Cost in tokens that is served before the request. */
  readonly costAheadTokens: number;
  /** Measured rate of prompt and output tokens; 0 if not known. */
  readonly servedTokensPerS: number;
  /** Expected time until a slot is free; 0 if one is free. */
  readonly slotWaitMs: number;
  readonly promptTokens: number;
  /** Measured prefill rate of one sequence; 0 if not known. */
  readonly prefillTokensPerS: number;
}

export interface Deadlines {
  readonly deadlineAtMs: number;
  readonly firstTokenDeadlineAtMs: number;
}

/** Expected prefill time of a prompt; 0 while the rate is not known. */
export function estimatePrefillMs(
  promptTokens: number,
  tokensPerS: number,
): number {
  return tokensPerS > 0 ? (promptTokens / tokensPerS) * 1000 : 0;
}

/** Expected time in milliseconds from now until the first token. */
export function estimateFirstTokenMs(estimate: ServiceEstimate): number {
  const {costAheadTokens, servedTokensPerS} = estimate;
  const queueMs =
    servedTokensPerS > 0 ? (costAheadTokens / servedTokensPerS) * 1000 : 0;
  return (
    Math.max(queueMs, estimate.slotWaitMs) +
    estimatePrefillMs(estimate.promptTokens, estimate.prefillTokensPerS)
  );
}

/**
 * Whether the first token is expected before both deadlines. An unknown rate
 * counts as no wait, so a process accepts requests until it has measured one.
 */
export function canMeetDeadline(
  estimate: ServiceEstimate,
  deadlines: Deadlines,
  nowMs: number,
): boolean {
  const firstTokenAtMs = nowMs + estimateFirstTokenMs(estimate);
  const latestAtMs = Math.min(
    deadlines.deadlineAtMs,
    deadlines.firstTokenDeadlineAtMs,
  );
  return firstTokenAtMs <= latestAtMs;
}
