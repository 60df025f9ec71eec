/** Metrics of the documents that a process holds, refused or could not read. */
import {METRICS} from '../telemetry/metric_catalog.js';
import type {Metrics} from '../telemetry/metrics.js';
import {
  DOCUMENT_KINDS,
  type DocumentStore,
  type AdoptionOutcome,
} from './document_store.js';

const REFUSAL_OUTCOMES: readonly AdoptionOutcome[] = [
  'revert_refused',
  'fork_refused',
  'unreadable',
];

/** Reported age of a version that was never confirmed. */
const NEVER_CONFIRMED_AGE_MS = -1;

export function declareDocumentMetrics(
  metrics: Metrics,
  store: DocumentStore,
  nowMs: () => number,
): void {
  for (const kind of DOCUMENT_KINDS) {
    metrics.gauge(
      'azurecrank_document_version',
      METRICS.azurecrank_document_version.help,
      () => store.version(kind),
      {what: kind},
    );
    metrics.gauge(
      'azurecrank_document_confirmed_age_ms',
      METRICS.azurecrank_document_confirmed_age_ms.help,
      () =>
        finiteOr(store.confirmedAgeMs(kind, nowMs()), NEVER_CONFIRMED_AGE_MS),
      {what: kind},
    );
  }
  for (const outcome of REFUSAL_OUTCOMES) {
    metrics.gauge(
      'azurecrank_documents_refused',
      METRICS.azurecrank_documents_refused.help,
      () => store.count(outcome),
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

/** Replaces an infinite age: the text format has no common spelling of infinity. */
function finiteOr(ageMs: number, fallbackMs: number): number {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : fallbackMs;
}
