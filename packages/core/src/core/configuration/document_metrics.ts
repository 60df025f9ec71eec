/** Gauges of the versions a process holds and of the offers it refused. */
import {METRICS} from '../telemetry/metric_catalog.js';
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
      METRICS.azurecrank_document_version.help,
      () => follower.version(what),
      {what},
    );
    metrics.gauge(
      'azurecrank_document_confirmed_age_ms',
      METRICS.azurecrank_document_confirmed_age_ms.help,
      () => finiteOr(follower.confirmedAgeMs(what, nowMs()), -1),
      {what},
    );
  }
  for (const outcome of REFUSED) {
    metrics.gauge(
      'azurecrank_documents_refused',
      METRICS.azurecrank_documents_refused.help,
      () => follower.count(outcome),
      {outcome},
    );
  }
  metrics.declareCounter(
    'azurecrank_config_unreadable_total',
    METRICS.azurecrank_config_unreadable_total.help,
  );
  metrics.declareCounter(
    'azurecrank_document_reads_total',
    METRICS.azurecrank_document_reads_total.help,
  );
}

/** The text format has no common spelling of infinity. */
function finiteOr(ageMs: number, otherwise: number): number {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : otherwise;
}
