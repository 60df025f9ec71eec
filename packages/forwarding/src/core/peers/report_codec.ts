/** Translates the states of entries from and to the messages that carry them. */
import type {
  ConfigVersion,
  EntryReport,
  ServerId,
  ServiceId,
} from '@azurecrank/core';
import type {ServiceQueues} from '../admission/peer_queues.js';
import type {HeldLayers} from '../fleet/fleet_view.js';
import type {ServerLimitReport} from '../limits/shared_server_limits.js';
import type {CrashId} from '../quarantine/crash_evidence.js';
import type {SuspectKey} from '../quarantine/suspect_key.js';
import type {
  QuarantineReport,
  SuspectReport,
} from '../quarantine/request_quarantine.js';
import type {EntryState} from './entry_state.js';

export function toReport(
  state: EntryState,
  configVersion: ConfigVersion,
  isStopping: boolean,
): EntryReport {
  return {
    type: 'shares',
    configVersion,
    usedTokens: state.usedTokens,
    queues: state.queues.map(toQueuesTuple),
    leaving: state.leaving,
    suspected: state.suspected,
    refusing: state.refusing,
    held: state.held.map(toHeldTuple),
    slow: state.slow,
    retries: state.retries.map(c => [c.service, c.requests, c.retries]),
    ...toRareReports(state),
    isStopping,
    layoutFence: state.layoutFence,
  };
}

/** @param entries number of entries that the report is of */
export function fromReport(report: EntryReport, entries = 1): EntryState {
  return {
    entries,
    usedTokens: report.usedTokens,
    queues: toServiceQueues(report),
    leaving: report.leaving as EntryState['leaving'],
    suspected: report.suspected,
    refusing: report.refusing,
    held: report.held.map(fromHeldTuple),
    slow: report.slow,
    retries: (report.retries ?? []).map(([service, requests, retries]) => ({
      service: service as ServiceId,
      requests,
      retries,
    })),
    quarantine: toQuarantineReport(report),
    limits: (report.limits ?? []).map(fromLimitTuple),
    layoutFence: report.layoutFence,
  };
}

/** Parts of the report that mostly have no content; these are left out. */
function toRareReports({
  queues,
  quarantine: {suspects, answered},
  limits,
}: EntryState): Partial<EntryReport> {
  const interrupted = queues.flatMap(toInterruptedTuples);
  return {
    ...(interrupted.length > 0 && {interrupted}),
    ...(suspects.length > 0 && {suspectParts: suspects.map(toSuspectTuple)}),
    ...(answered.length > 0 && {answeredParts: answered}),
    ...(limits.length > 0 && {limits: limits.map(toLimitTuple)}),
  };
}

type QueuesTuple = NonNullable<EntryReport['queues']>[number];

function toQueuesTuple({service, ranks, entries}: ServiceQueues): QueuesTuple {
  const tuples = ranks.map(
    ({tokens, oldestAgeMs}) => [tokens, Math.round(oldestAgeMs)] as const,
  );
  return entries === undefined ? [service, tuples] : [service, tuples, entries];
}

type InterruptedTuple = NonNullable<EntryReport['interrupted']>[number];

function toInterruptedTuples(
  {service, interrupted}: ServiceQueues,
  index: number,
): InterruptedTuple[] {
  if (!interrupted || interrupted.tokens === 0) return [];
  const {tokens, oldestAgeMs} = interrupted;
  return [[service, tokens, Math.round(oldestAgeMs), index]];
}

function toServiceQueues({
  queues = [],
  interrupted = [],
}: EntryReport): ServiceQueues[] {
  const interruptedOf = (index: number, service: string) => {
    const tuple = interrupted.find(
      ([of, , , at]) => of === service && (at ?? index) === index,
    );
    return tuple && {tokens: tuple[1], oldestAgeMs: tuple[2]};
  };
  return queues.map(([service, ranks, entries], index) => ({
    service: service as ServiceId,
    interrupted: interruptedOf(index, service),
    ranks: ranks.map(([tokens, oldestAgeMs]) => ({tokens, oldestAgeMs})),
    entries,
  }));
}

type SuspectTuple = NonNullable<EntryReport['suspectParts']>[number];

function toSuspectTuple(suspect: SuspectReport): SuspectTuple {
  const {key, depth, crashes, trialLeftMs} = suspect;
  return [key, depth, crashes, Math.round(trialLeftMs)];
}

type LimitTuple = NonNullable<EntryReport['limits']>[number];

function toLimitTuple({
  address,
  limitPerS = -1,
  ageMs = -1,
  sends,
}: ServerLimitReport): LimitTuple {
  return [address, limitPerS, Math.round(ageMs), sends];
}

function fromLimitTuple(tuple: LimitTuple): ServerLimitReport {
  const [address, limitPerS, ageMs, sends] = tuple;
  return {
    address,
    limitPerS: limitPerS < 0 ? undefined : limitPerS,
    ageMs: ageMs < 0 ? undefined : ageMs,
    sends,
  };
}

function toQuarantineReport({
  suspectParts = [],
  answeredParts = [],
}: EntryReport): QuarantineReport {
  return {
    suspects: suspectParts.map(([key, depth, crashes, trialLeftMs]) => ({
      key: key as SuspectKey,
      depth,
      crashes: crashes as ReadonlyArray<readonly [CrashId, number]>,
      trialLeftMs,
    })),
    answered: answeredParts as QuarantineReport['answered'],
  };
}

function toHeldTuple({
  server,
  startedAtMs,
  orderSequence,
  layers,
  reloadingLayerTokens = -1,
}: HeldLayers): EntryReport['held'][number] {
  const {firstLayer, endLayer} = layers ?? {firstLayer: 0, endLayer: 0};
  return [
    server,
    startedAtMs,
    orderSequence,
    firstLayer,
    endLayer,
    reloadingLayerTokens,
  ];
}

function fromHeldTuple(tuple: EntryReport['held'][number]): HeldLayers {
  const [
    server,
    startedAtMs,
    orderSequence,
    firstLayer,
    endLayer,
    layerTokens,
  ] = tuple;
  const layers = firstLayer < endLayer ? {firstLayer, endLayer} : undefined;
  return {
    server: server as ServerId,
    startedAtMs,
    orderSequence,
    layers,
    reloadingLayerTokens: layerTokens < 0 ? undefined : layerTokens,
  };
}
