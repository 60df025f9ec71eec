/**
 * Catalog of all metrics of the entry and side processes. Each process declares
 * its metrics from this list at its start, so that every metric and label value
 * is exported before its first event.
 */
import {REFUSALS} from '../errors/errors_data.js';
import {RETRY_REASONS} from '../errors/retry_reasons.js';
import {STREAM_CUT_REASONS} from '../errors/stream_cut_reasons.js';
import type {Metrics} from './metrics.js';

/** Kind of process that exports a metric. */
export type MetricOwner = 'entry' | 'side';

export interface MetricData {
  readonly kind: 'counter' | 'gauge' | 'summary';
  readonly help: string;
  readonly owners: readonly MetricOwner[];
  /** Label of which all values are known in advance. */
  readonly label?: string;
  readonly values?: readonly string[];
}

const ENTRY: readonly MetricOwner[] = ['entry'];
const SIDE: readonly MetricOwner[] = ['side'];
const BOTH: readonly MetricOwner[] = ['entry', 'side'];

export const METRICS = {
  azurecrank_refusals_total: {
    kind: 'counter',
    help: 'Requests refused, by reason',
    owners: BOTH,
    label: 'reason',
    values: Object.keys(REFUSALS),
  },
  azurecrank_retries_total: {
    kind: 'counter',
    help: 'Messages, requests or writes sent again, by reason',
    owners: BOTH,
    label: 'reason',
    values: RETRY_REASONS,
  },
  azurecrank_streams_cut_total: {
    kind: 'counter',
    help: 'Started streams that were ended before their last event, by reason',
    owners: ENTRY,
    label: 'reason',
    values: STREAM_CUT_REASONS,
  },
  azurecrank_invalid_responses_total: {
    kind: 'counter',
    help: 'Responses of servers that cannot be those to their requests',
    owners: ENTRY,
    label: 'reason',
    values: [
      'other_request',
      'no_request_id',
      'other_media_type',
      'not_an_event',
      'too_large',
      'buffers_full',
    ],
  },
  azurecrank_requests_total: {
    kind: 'counter',
    help: 'Requests of callers that were accepted for routing, by kind',
    owners: ENTRY,
    label: 'kind',
    values: ['chat', 'call'],
  },
  azurecrank_requests_in_flight: {
    kind: 'gauge',
    help: 'Requests of callers that have not been answered to the end',
    owners: ENTRY,
  },
  azurecrank_tokens_dropped_total: {
    kind: 'counter',
    help: 'Tokens that no request waited for, for example of an old attempt',
    owners: ENTRY,
  },
  azurecrank_stages_moved_total: {
    kind: 'counter',
    help: 'Stages whose cache moved on a planned stop',
    owners: ENTRY,
  },
  azurecrank_steps_resent_total: {
    kind: 'counter',
    help: 'Steps sent again to a head that may have lost them',
    owners: ENTRY,
  },
  azurecrank_queue_ms: {
    kind: 'summary',
    help: 'Milliseconds from accepting a request to its grant, by rank',
    owners: ENTRY,
  },
  azurecrank_queue_wait_ms_total: {
    kind: 'counter',
    help: 'Milliseconds that requests waited for a chain, by reason',
    owners: ENTRY,
    label: 'reason',
    values: [
      'no_chain',
      'no_free_tokens',
      'chain_closed',
      'other_entries_first',
      'interrupted_first',
    ],
  },
  azurecrank_first_token_ms: {
    kind: 'summary',
    help: 'Milliseconds from accepting a request to its first token, by rank',
    owners: ENTRY,
  },
  azurecrank_plan_writes_total: {
    kind: 'counter',
    help: 'Writes of the plan by the lease holder, by outcome',
    owners: ENTRY,
    label: 'outcome',
    values: ['written', 'conflict', 'unknown'],
  },
  azurecrank_placement_failures_total: {
    kind: 'counter',
    help: 'Rounds of placement that could not run',
    owners: ENTRY,
  },
  azurecrank_host_list_failures_total: {
    kind: 'counter',
    help: 'Reads of the host list without an answer',
    owners: ENTRY,
  },
  azurecrank_store_reads_total: {
    kind: 'counter',
    help: 'Readings and watches of the store, by what has answered them',
    owners: ENTRY,
    label: 'source',
    values: ['store', 'relay', 'failed'],
  },
  azurecrank_peer_bytes: {
    kind: 'gauge',
    help: 'Bytes exchanged with other entries since the start, by direction',
    owners: ENTRY,
  },
  azurecrank_document_version: {
    kind: 'gauge',
    help: 'Held version of the configuration and the plan',
    owners: BOTH,
  },
  azurecrank_document_confirmed_age_ms: {
    kind: 'gauge',
    help: 'Time since the key-value service confirmed the held version, or -1',
    owners: BOTH,
  },
  azurecrank_documents_refused: {
    kind: 'gauge',
    help: 'Offered documents that were not taken',
    owners: BOTH,
  },
  azurecrank_config_unreadable_total: {
    kind: 'counter',
    help: 'Accepted configurations that this release cannot read',
    owners: BOTH,
  },
  azurecrank_document_reads_total: {
    kind: 'counter',
    help: 'Reads of configuration and plan from the key-value service',
    owners: BOTH,
  },
  azurecrank_sequences: {
    kind: 'gauge',
    help: 'Sequences with a cache here',
    owners: SIDE,
  },
  azurecrank_waiting_requests: {
    kind: 'gauge',
    help: 'Requests that wait in the queue of this head',
    owners: SIDE,
  },
  azurecrank_activation_log_bytes: {
    kind: 'gauge',
    help: 'Bytes of outputs kept for replay',
    owners: SIDE,
  },
  azurecrank_head_wait_ms: {
    kind: 'summary',
    help: 'Milliseconds that requests waited in the queue here, by rank',
    owners: SIDE,
  },
  azurecrank_between_steps_ms: {
    kind: 'summary',
    help: 'Milliseconds between two steps of a sequence at this head',
    owners: SIDE,
  },
  azurecrank_engine_batch_ms: {
    kind: 'summary',
    help: 'Milliseconds that the engine took for a batch',
    owners: SIDE,
  },
  azurecrank_preemptions_total: {
    kind: 'counter',
    help: 'Overnight sequences asked to make room for urgent requests',
    owners: SIDE,
  },
  azurecrank_inputs_dropped_total: {
    kind: 'counter',
    help: 'Steps and activations that a stage did not run, by reason',
    owners: SIDE,
    label: 'reason',
    values: ['stale_attempt', 'duplicate', 'gap', 'released'],
  },
  azurecrank_engine_stalls_total: {
    kind: 'counter',
    help: 'Steps that the engine did not finish in the expected time',
    owners: SIDE,
  },
  azurecrank_sequences_exported_total: {
    kind: 'counter',
    help: 'Caches sent to another server by a leaving one',
    owners: SIDE,
  },
  azurecrank_sequences_imported_total: {
    kind: 'counter',
    help: 'Caches taken over from a leaving server',
    owners: SIDE,
  },
  azurecrank_wrong_range_total: {
    kind: 'counter',
    help: 'Inputs for layers that the engine does not hold',
    owners: SIDE,
  },
  azurecrank_replays_refused_total: {
    kind: 'counter',
    help: 'Replays refused because the kept outputs were trimmed',
    owners: SIDE,
  },
  azurecrank_orphan_slots_total: {
    kind: 'counter',
    help: 'Slots freed because their entry is gone',
    owners: SIDE,
  },
  azurecrank_orphans_released_total: {
    kind: 'counter',
    help: 'Sequences released because no message came for them',
    owners: SIDE,
  },
  azurecrank_reconciles_total: {
    kind: 'counter',
    help: 'Comparisons of engine and plan, by outcome',
    owners: SIDE,
    label: 'outcome',
    values: [
      'in_order',
      'ordered',
      'waiting',
      'superseded',
      'fenced',
      'failed',
    ],
  },
  azurecrank_side_calls_total: {
    kind: 'counter',
    help: 'Calls to the plain service, by outcome',
    owners: SIDE,
  },
  azurecrank_layout_orders_total: {
    kind: 'counter',
    help: 'Orders to hold layers, by outcome',
    owners: ENTRY,
    label: 'outcome',
    values: ['accepted', 'fenced', 'conflict', 'missing', 'unknown'],
  },
  azurecrank_claim_writes_total: {
    kind: 'counter',
    help: 'Writes of claim pages, by outcome',
    owners: SIDE,
    label: 'outcome',
    values: ['written', 'conflict', 'unknown'],
  },
} as const satisfies Record<string, MetricData>;

export type MetricName = keyof typeof METRICS;

/**
 * Declares the counters and summaries of a process. Gauges are registered by
 * the modules that own their values.
 */
export function declareProcessMetrics(
  metrics: Metrics,
  owner: MetricOwner,
): void {
  for (const [name, data] of Object.entries<MetricData>(METRICS)) {
    const {kind, help, label, values, owners} = data;
    if (!owners.includes(owner)) continue;
    if (kind === 'counter') metrics.declareCounter(name, help, label, values);
    if (kind === 'summary') metrics.declareTiming(name, help);
  }
}
