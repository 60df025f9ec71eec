/** Counts and logs refusals and sends them to callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  Logger,
  Metrics,
  Refusal,
  RefusalReason,
  RequestId,
} from '@azurecrank/core';
import {toProblemDocument} from '@azurecrank/core';
import type {Exchange} from './exchange.js';

const MS_PER_SECOND = 1000;

/** Reasons logged as warnings: an operator may have to look for a fault. */
const FAULT_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'internal_error',
  'service_failed',
  'stage_lost',
  'outcome_unknown',
  'no_chain',
  'no_server',
  'claim_store_unavailable',
  'claim_page_full',
  'retry_budget_exhausted',
]);

/**
 * A caller that still sends its body reads the answer only afterwards. The
 * rest of the body is read and discarded for this time, then the connection is
 * closed.
 */
const DISCARD_BODY_TIMEOUT_MS = 2000;

/** The members of an exchange that a refusal needs. */
export type RefusedExchange = Pick<
  Exchange,
  'req' | 'res' | 'request' | 'logFields'
>;

/**
 * Format of `retry-after`. Standard clients read whole seconds; fractions serve
 * callers whose deadline is too short to wait a whole second.
 */
export type RetryAfterFormat = 'whole_seconds' | 'fractions';

export class RefusalSender {
  constructor(
    private readonly metrics: Metrics,
    private readonly logger: Logger,
    private readonly retryAfterFormat: RetryAfterFormat = 'whole_seconds',
  ) {}

  /** Counts, logs and answers, unless the caller has disconnected. */
  refuse(exchange: RefusedExchange, refusal: Refusal): void {
    this.record(exchange, refusal);
    const {req, res, request} = exchange;
    if (res.headersSent || res.destroyed) return;
    sendProblem(res, refusal, request, this.retryAfterFormat);
    discardBody(req);
  }

  /** Counts and logs a refusal, for exchanges that are answered elsewhere. */
  record(exchange: RefusedExchange, refusal: Refusal): void {
    const {reason, ran, step, peer, detail} = refusal;
    this.metrics.increment('azurecrank_refusals_total', {reason});
    const fields = {...exchange.logFields(), reason, ran, step, peer, detail};
    if (FAULT_REASONS.has(reason)) this.logger.warn('request refused', fields);
    else this.logger.info('request refused', fields);
  }
}

/** Sends a refusal as `application/problem+json` (RFC 9457). */
export function sendProblem(
  res: ServerResponse,
  refusal: Refusal,
  request: RequestId | '',
  retryAfterFormat: RetryAfterFormat = 'whole_seconds',
): void {
  const body = toProblemBody(refusal, request);
  res.statusCode = body.status;
  res.setHeader('content-type', 'application/problem+json');
  if (refusal.reason === 'unauthorized') {
    res.setHeader('www-authenticate', 'Bearer');
  }
  if (refusal.retryAfterMs !== undefined) {
    const exactSeconds = refusal.retryAfterMs / MS_PER_SECOND;
    const isExact = retryAfterFormat === 'fractions';
    const retryAfterSeconds = isExact ? exactSeconds : Math.ceil(exactSeconds);
    res.setHeader('retry-after', String(retryAfterSeconds));
  }
  res.end(JSON.stringify(body));
}

/** Clients of the chat API read the message from an `error` member. */
export function toProblemBody(refusal: Refusal, request: RequestId | '') {
  const problem = toProblemDocument(refusal, request);
  const {title, detail, reason} = problem;
  const message = detail === title ? title : `${title}: ${detail}`;
  const error = {message, type: reason, code: reason, param: null};
  return {...problem, error};
}

function discardBody(req: IncomingMessage): void {
  if (req.complete) return;
  req.resume();
  const timer = setTimeout(() => req.destroy(), DISCARD_BODY_TIMEOUT_MS);
  timer.unref();
  req.once('close', () => clearTimeout(timer));
  req.once('end', () => clearTimeout(timer));
}
