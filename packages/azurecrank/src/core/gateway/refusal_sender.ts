/** Counts, logs and sends refusals: the one way by which callers get them. */
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

/** Reasons that point to a fault an operator may have to look into. */
const FAULTS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
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
 * A caller that still sends its body reads the answer only afterwards, so the
 * rest is discarded for this long before the connection is closed.
 */
const DISCARD_BODY_MS = 2000;

/** The part of an exchange that is used. */
export type RefusedExchange = Pick<
  Exchange,
  'req' | 'res' | 'request' | 'logFields'
>;

/** Standard clients read whole seconds; some callers have less time. */
export type RetryAfterFormat = 'whole_seconds' | 'fractions';

export class RefusalSender {
  constructor(
    private readonly metrics: Metrics,
    private readonly logger: Logger,
    private readonly retryAfterFormat: RetryAfterFormat = 'whole_seconds',
  ) {}

  /** Counts, logs and answers; a caller that has left gets no answer. */
  refuse(exchange: RefusedExchange, refusal: Refusal): void {
    this.note(exchange, refusal);
    const {req, res, request} = exchange;
    if (res.headersSent || res.destroyed) return;
    sendProblem(res, refusal, request, this.retryAfterFormat);
    discardBody(req);
  }

  /** Counts and logs a refusal that is answered elsewhere. */
  note(exchange: RefusedExchange, refusal: Refusal): void {
    const {reason, ran, step, peer, detail} = refusal;
    this.metrics.increment('azurecrank_refusals_total', {reason});
    const fields = {...exchange.logFields(), reason, ran, step, peer, detail};
    if (FAULTS.has(reason)) this.logger.warn('request refused', fields);
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
    const exactS = refusal.retryAfterMs / MS_PER_SECOND;
    const isExact = retryAfterFormat === 'fractions';
    const retryAfterS = isExact ? exactS : Math.ceil(exactS);
    res.setHeader('retry-after', String(retryAfterS));
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
  const timer = setTimeout(() => req.destroy(), DISCARD_BODY_MS);
  timer.unref();
  req.once('close', () => clearTimeout(timer));
  req.once('end', () => clearTimeout(timer));
}
