/** Gauges of the versions a process holds and of the offers it refused. */
import type {Metrics} from '../telemetry/metrics.js';
import {
  DOCUMENT_KINDS,
  type DocumentFollower,
  type OfferOutcome,
} from './document_follower.js';

const REFUSED: readonly OfferOutcome[] = [
  'revert_refused',
  'fork_refused',
  'unreadable',
];

export function declareMetrics(
  metrics: Metrics,
  follower: DocumentFollower,
  nowMs: () => number,
): void {
  for (const what of DOCUMENT_KINDS) {
    metrics.gauge(
      'azurecrank_document_version',
      'Held version of the configuration and the plan',
      () => follower.version(what),
      {what},
    );
    metrics.gauge(
      'azurecrank_document_confirmed_age_ms',
      'Time since the key-value service confirmed the held version, or -1',
      () => finiteOr(follower.confirmedAgeMs(what, nowMs()), -1),
      {what},
    );
  }
  for (const outcome of REFUSED) {
    metrics.gauge(
      'azurecrank_documents_refused',
      'Offered documents that were not taken',
      () => follower.count(outcome),
      {outcome},
    );
  }
  metrics.declareCounter(
    'azurecrank_config_unreadable_total',
    'Accepted configurations that this release cannot read',
  );
  metrics.declareCounter(
    'azurecrank_document_reads_total',
    'Reads of configuration and plan from the key-value service',
  );
}

/** The text format has no common spelling of infinity. */
function finiteOr(ageMs: number, otherwise: number): number {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : otherwise;
}
