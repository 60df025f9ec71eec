/**
 * What an entry reports to the others, and how the reports of several entries
 * are combined: each quantity is a sum, a maximum or a set with a lifetime.
 * Pure; times are arguments.
 */
import type {ServerId, ServiceId} from '@azurecrank/core';
import {
  hasWaiting,
  type RankQueue,
  type ServiceQueues,
} from '../admission/peer_queues.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {HeldLayers} from '../fleet/fleet_view.js';
import type {ServerLimitReport} from '../limits/shared_server_limits.js';
import type {
  QuarantineReport,
  SuspectReport,
} from '../quarantine/request_quarantine.js';
import type {RetryCounts} from '../retry/shared_retry_budget.js';

export interface EntryState {
  /** Number of entries that the state is of. */
  readonly entries: number;
  readonly usedTokens: Readonly<Record<ServerAddress, number>>;
  /** One item for a service, or for each entry with waiting requests. */
  readonly queues: readonly ServiceQueues[];
  /** Leaving incarnations of servers: id and start time. */
  readonly leaving: ReadonlyArray<readonly [ServerId, number]>;
  readonly suspected: readonly ServerAddress[];
  readonly refusing: readonly ServerAddress[];
  readonly held: readonly HeldLayers[];
  readonly slow: ReadonlyArray<readonly [ServerAddress, number]>;
  readonly retries: readonly RetryCounts[];
  readonly quarantine: QuarantineReport;
  readonly limits: readonly ServerLimitReport[];
  readonly layoutFence: number;
}

/** The state of an entry without requests. */
export const EMPTY_STATE: EntryState = {
  entries: 1,
  usedTokens: {},
  queues: [],
  leaving: [],
  suspected: [],
  refusing: [],
  held: [],
  slow: [],
  retries: [],
  quarantine: {suspects: [], answered: []},
  limits: [],
  layoutFence: 0,
};

/** The last state of an entry, or of several, and when it was current. */
export interface HeardState {
  readonly state: EntryState;
  readonly heardAtMs: number;
}

/** Time after which an entry that is not heard of does not count as alive. */
export const ENTRY_ALIVE_MS = 1500;

/**
 * For how long each quantity of an entry counts that is no longer heard of.
 * Sets expire with the modules that use them, after a further time.
 */
const MAX_AGE_MS = {
  queues: 800,
  sets: 1200,
  /** Requests of a lost entry are still at their servers. */
  usedTokens: 3000,
  /** The window of the retry budget, and the longest one of a server limit. */
  counts: 20_000,
} as const;

/** Time after which nothing of an entry counts that is not heard of. */
export const MAX_STATE_AGE_MS = MAX_AGE_MS.counts;

/** Items of the waiting queues of a service; further ones are combined. */
const MAX_QUEUE_ITEMS = 24;

const NO_QUEUE: RankQueue = {tokens: 0, oldestAgeMs: 0};

/** Combines the states of different entries into one as of `nowMs`. */
export function mergeStates(
  heard: Iterable<HeardState>,
  nowMs: number,
): EntryState {
  const merge = new StateMerge(nowMs);
  for (const one of heard) merge.add(one);
  return merge.result();
}

class StateMerge {
  private entries = 0;
  private layoutFence = 0;
  private readonly usedTokens = new Map<ServerAddress, number>();
  private readonly queues: ServiceQueues[] = [];
  private readonly leaving = new Map<string, readonly [ServerId, number]>();
  private readonly suspected = new Set<ServerAddress>();
  private readonly refusing = new Set<ServerAddress>();
  private readonly held = new Map<ServerId, HeldLayers>();
  private readonly slow = new Map<ServerAddress, number>();
  private readonly retries = new Map<ServiceId, RetryCounts>();
  private readonly suspects = new Map<string, SuspectReport>();
  private readonly answered = new Map<
    string,
    QuarantineReport['answered'][number]
  >();
  private readonly limits = new Map<ServerAddress, ServerLimitReport>();

  constructor(private readonly nowMs: number) {}

  add({state, heardAtMs}: HeardState): void {
    const ageMs = Math.max(0, this.nowMs - heardAtMs);
    if (ageMs <= ENTRY_ALIVE_MS) this.entries += state.entries;
    this.layoutFence = Math.max(this.layoutFence, state.layoutFence);
    if (ageMs <= MAX_AGE_MS.counts) this.addCounts(state, ageMs);
    if (ageMs <= MAX_AGE_MS.usedTokens) {
      for (const [first, tokens] of Object.entries(state.usedTokens))
        this.usedTokens.set(first, (this.usedTokens.get(first) ?? 0) + tokens);
    }
    if (ageMs <= MAX_AGE_MS.sets) this.addSets(state, ageMs);
    if (ageMs <= MAX_AGE_MS.queues) this.addQueues(state, ageMs);
  }

  result(): EntryState {
    return {
      entries: this.entries,
      usedTokens: Object.fromEntries(this.usedTokens),
      queues: limitItems(this.queues),
      leaving: [...this.leaving.values()],
      suspected: [...this.suspected],
      refusing: [...this.refusing],
      held: [...this.held.values()],
      slow: [...this.slow],
      retries: [...this.retries.values()],
      quarantine: {
        suspects: [...this.suspects.values()],
        answered: [...this.answered.values()],
      },
      limits: [...this.limits.values()],
      layoutFence: this.layoutFence,
    };
  }

  private addCounts({retries, limits}: EntryState, ageMs: number): void {
    for (const counts of retries) {
      const sum = this.retries.get(counts.service);
      this.retries.set(counts.service, {
        service: counts.service,
        requests: counts.requests + (sum?.requests ?? 0),
        retries: counts.retries + (sum?.retries ?? 0),
      });
    }
    for (const limit of limits) {
      const aged = {...limit, ageMs: addAge(limit.ageMs, ageMs)};
      const known = this.limits.get(limit.address);
      this.limits.set(limit.address, known ? mergeLimits(known, aged) : aged);
    }
  }

  private addSets(state: EntryState, ageMs: number): void {
    for (const incarnation of state.leaving)
      this.leaving.set(incarnation.join('@'), incarnation);
    for (const address of state.suspected) this.suspected.add(address);
    for (const address of state.refusing) this.refusing.add(address);
    for (const [address, factor] of state.slow) this.slow.set(address, factor);
    for (const held of state.held) {
      const known = this.held.get(held.server);
      if (!known || isLaterObservation(held, known))
        this.held.set(held.server, held);
    }
    this.addQuarantine(state.quarantine, ageMs);
  }

  private addQuarantine(
    {suspects, answered}: QuarantineReport,
    ageMs: number,
  ): void {
    for (const suspect of suspects) {
      const aged = ageSuspect(suspect, ageMs);
      const known = this.suspects.get(suspect.key);
      this.suspects.set(suspect.key, known ? mergeSuspects(known, aged) : aged);
    }
    for (const [key, answerAgeMs] of answered) {
      const knownAgeMs = this.answered.get(key)?.[1] ?? Infinity;
      this.answered.set(key, [key, Math.min(knownAgeMs, answerAgeMs + ageMs)]);
    }
  }

  private addQueues({queues}: EntryState, ageMs: number): void {
    for (const item of queues) {
      if (!hasWaiting(item)) continue;
      const age = (queue: RankQueue) =>
        queue.tokens > 0
          ? {...queue, oldestAgeMs: queue.oldestAgeMs + ageMs}
          : NO_QUEUE;
      this.queues.push({
        ...item,
        interrupted: item.interrupted && age(item.interrupted),
        ranks: item.ranks.map(age),
      });
    }
  }
}

function isLaterObservation(held: HeldLayers, known: HeldLayers): boolean {
  if (held.startedAtMs !== known.startedAtMs)
    return held.startedAtMs > known.startedAtMs;
  return held.orderSequence >= known.orderSequence;
}

function addAge(ageMs: number | undefined, addedMs: number) {
  return ageMs === undefined ? undefined : ageMs + addedMs;
}

/** Adds up the requests to one server; the newest response names its limit. */
function mergeLimits(
  a: ServerLimitReport,
  b: ServerLimitReport,
): ServerLimitReport {
  const isNewer = (b.ageMs ?? Infinity) < (a.ageMs ?? Infinity);
  return {...(isNewer ? b : a), sends: a.sends + b.sends};
}

function ageSuspect(suspect: SuspectReport, ageMs: number): SuspectReport {
  return {
    ...suspect,
    crashes: suspect.crashes.map(([crash, atAgeMs]) => [
      crash,
      atAgeMs + ageMs,
    ]),
    trialLeftMs: Math.max(0, suspect.trialLeftMs - ageMs),
  };
}

function mergeSuspects(a: SuspectReport, b: SuspectReport): SuspectReport {
  const crashes = new Map(a.crashes);
  for (const [crash, ageMs] of b.crashes)
    crashes.set(crash, Math.max(ageMs, crashes.get(crash) ?? 0));
  return {
    ...a,
    crashes: [...crashes],
    trialLeftMs: Math.max(a.trialLeftMs, b.trialLeftMs),
  };
}

/** Combines the youngest queues, so that a report stays small. */
function limitItems(queues: readonly ServiceQueues[]): ServiceQueues[] {
  const byService = new Map<ServiceId, ServiceQueues[]>();
  for (const item of queues) {
    const items = byService.get(item.service);
    if (items) items.push(item);
    else byService.set(item.service, [item]);
  }
  return [...byService.values()].flatMap(items => {
    if (items.length <= MAX_QUEUE_ITEMS) return items;
    const oldestFirst = items
      .map(item => ({item, ageMs: oldestAgeMs(item)}))
      .sort((a, b) => b.ageMs - a.ageMs)
      .map(({item}) => item);
    const kept = oldestFirst.slice(0, MAX_QUEUE_ITEMS - 1);
    return [...kept, combineQueues(oldestFirst.slice(MAX_QUEUE_ITEMS - 1))];
  });
}

function oldestAgeMs({ranks, interrupted = NO_QUEUE}: ServiceQueues): number {
  return Math.max(
    interrupted.oldestAgeMs,
    ...ranks.map(queue => queue.oldestAgeMs),
  );
}

function combineQueues(items: readonly ServiceQueues[]): ServiceQueues {
  const combine = (queues: readonly RankQueue[]): RankQueue => ({
    tokens: queues.reduce((sum, {tokens}) => sum + tokens, 0),
    oldestAgeMs: Math.max(...queues.map(queue => queue.oldestAgeMs)),
  });
  return {
    service: items[0].service,
    interrupted: combine(items.map(({interrupted = NO_QUEUE}) => interrupted)),
    ranks: items[0].ranks.map((_, rank) =>
      combine(items.map(({ranks}) => ranks[rank] ?? NO_QUEUE)),
    ),
    entries: items.reduce((sum, {entries = 1}) => sum + entries, 0),
  };
}
