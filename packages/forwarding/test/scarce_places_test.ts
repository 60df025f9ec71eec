import {describe, it} from 'node:test';
import {stableHash} from '@azurecrank/core';
import {
  applyOrders,
  findChains,
  layersUsedByChains,
  planLayout,
  streamDurationMs,
  streamsPerS,
  typicalStreamTokens,
  type BackendServer,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {ENTRY_COUNT, EntryFleet} from './entry_fleet.js';
import {LARGE_FLEET_MODEL as MODEL, emptyLargeFleet} from './fleet_fixture.js';
import {maxStreamsPerS} from './throughput_bound.js';

/** Streams that callers start in a second at the peak of a busy day. */
const OFFERED_STREAMS_PER_S = 138;

/** Target for the throughput as a fraction of the hardware bound. */
const MIN_SHARE_OF_BOUND = 0.8;

const SEEDS = [1, 2, 3, 4, 5];
const ZONES = ['river', 'mill', 'depot'];

/** Rounds of orders after which a layout has to be settled. */
const MAX_ROUNDS = 30;

/** Plans and applies orders until there are none, as the lease holder does. */
function settleLayout(servers: readonly BackendServer[]): BackendServer[] {
  let current = [...servers];
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const inUse = layersUsedByChains(findChains(MODEL, current));
    const orders = planLayout(MODEL, current, inUse);
    if (orders.length === 0) return current;
    current = applyOrders(current, orders);
  }
  throw new Error(`the layout is not settled after ${MAX_ROUNDS} rounds`);
}

/** Returns the streams a second that all chains of the servers can serve. */
function layoutStreamsPerS(servers: readonly BackendServer[]): number {
  return findChains(MODEL, servers).reduce(
    (sum, chain) => sum + streamsPerS(MODEL, chain),
    0,
  );
}

/** Returns the servers without `losses` of the zone, drawn by the seed. */
function withoutServersOf(
  servers: readonly BackendServer[],
  zone: string,
  losses: number,
  seed: number,
): BackendServer[] {
  const lost = servers
    .filter(({availabilityZone}) => availabilityZone === zone)
    .map(({server}) => ({server, draw: stableHash(`${seed}:${server}`)}))
    .sort((a, b) => a.draw - b.draw)
    .slice(0, losses)
    .map(({server}) => server);
  return servers.filter(({server}) => !lost.includes(server));
}

function withoutOneInSeven(
  servers: readonly BackendServer[],
  seed: number,
): BackendServer[] {
  return ZONES.reduce(
    (remaining, zone) => {
      const inZone = servers.filter(s => s.availabilityZone === zone);
      const losses = Math.round(inZone.length / 7);
      return withoutServersOf(remaining, zone, losses, seed);
    },
    [...servers],
  );
}

/** Describes a settled layout if it cannot serve the offered streams. */
function describeShortfall(
  servers: readonly BackendServer[],
  cause: string,
): string[] {
  expect(maxStreamsPerS(MODEL, servers)).toBeGreaterThan(OFFERED_STREAMS_PER_S);
  const perS = layoutStreamsPerS(settleLayout(servers));
  if (perS >= OFFERED_STREAMS_PER_S) return [];
  return [`${cause}: ${perS.toFixed(1)} streams a second`];
}

// Load pattern: streams arrive at the rate of the peak for much longer than one
// of them takes, and each holds KV cache on all servers of its chain meanwhile.
// Guards against layouts with too few chains, or too slow ones, for that rate,
// so that queues do not drain and most first events are late (incident 9).
describe('layout of a fleet with scarce KV-cache tokens', () => {
  const settled = settleLayout(emptyLargeFleet());

  it('serves the offered streams when it is new', () => {
    expect(describeShortfall(emptyLargeFleet(), 'no loss')).toEqual([]);
  });

  it('serves the offered streams after the loss of two servers', () => {
    const shortfalls = SEEDS.flatMap(seed =>
      ZONES.flatMap(zone =>
        describeShortfall(
          withoutServersOf(settled, zone, 2, seed),
          `${zone}, seed ${seed}`,
        ),
      ),
    );
    expect(shortfalls).toEqual([]);
  });

  it('serves the offered streams after the loss of one server in seven', () => {
    const shortfalls = SEEDS.flatMap(seed =>
      describeShortfall(withoutOneInSeven(settled, seed), `seed ${seed}`),
    );
    expect(shortfalls).toEqual([]);
  });

  it('serves most of what the hardware can serve', () => {
    expect(layoutStreamsPerS(settled)).toBeGreaterThanOrEqual(
      maxStreamsPerS(MODEL, settled) * MIN_SHARE_OF_BOUND,
    );
  });
});

/** Streams of one rank that callers start, and what they may wait. */
interface OfferedRank {
  readonly rank: 'urgent' | 'ordinary' | 'overnight';
  readonly share: number;
  readonly firstEventTargetMs: number;
}

const OFFERED_RANKS: readonly OfferedRank[] = [
  {rank: 'urgent', share: 0.32, firstEventTargetMs: 500},
  {rank: 'ordinary', share: 0.49, firstEventTargetMs: 600},
  {rank: 'overnight', share: 0.19, firstEventTargetMs: 1200},
];

/** Part of the target that servers need for the first event. */
const PREFILL_MS = 150;

const LOAD_DURATION_MS = 15_000;

/** Target for the streams that are admitted in time. */
const MIN_SHARE_IN_TIME = 0.95;

/** Offers streams to many entries; returns the share admitted in time. */
function shareInTime(servers: readonly BackendServer[], seed: number): number {
  const fleet = new EntryFleet({
    model: MODEL,
    servers,
    runMs: chain => streamDurationMs(MODEL, chain),
    requestTokens: typicalStreamTokens(MODEL),
  });
  fleet.registerServers();
  const draw = (text: string) => stableHash(`${seed}:${text}`) / 2 ** 32;
  let offered = 0;
  for (let atMs = 0; atMs < LOAD_DURATION_MS; offered++) {
    // Intervals between independent arrivals have this distribution.
    const intervalMs = -Math.log(1 - draw(`interval ${offered}`));
    atMs += (intervalMs * 1000) / OFFERED_STREAMS_PER_S;
    if (atMs > fleet.nowMs) fleet.advance(atMs - fleet.nowMs);
    const {rank, firstEventTargetMs} = drawRank(draw(`rank ${offered}`));
    const entry = Math.floor(draw(`entry ${offered}`) * ENTRY_COUNT);
    const maxWaitMs = firstEventTargetMs - PREFILL_MS;
    fleet.entries[entry].enqueue(`r${offered}`, rank, maxWaitMs);
  }
  fleet.advance(2000);
  return fleet.accepted.length / offered;
}

function drawRank(draw: number): OfferedRank {
  let remaining = draw;
  for (const offered of OFFERED_RANKS) {
    remaining -= offered.share;
    if (remaining < 0) return offered;
  }
  return OFFERED_RANKS[OFFERED_RANKS.length - 1];
}

// Load pattern: as above, from callers who come independently to many entries.
describe('many entries in front of scarce KV-cache tokens', () => {
  // Guards against streams that wait for tokens beyond the target for their
  // first event, although the hardware suffices (incident 9).
  it('admit the offered streams in time', () => {
    const settled = settleLayout(emptyLargeFleet());
    const late = SEEDS.flatMap(seed => {
      const share = shareInTime(settled, seed);
      return share >= MIN_SHARE_IN_TIME
        ? []
        : [`seed ${seed}: ${share.toFixed(3)} in time`];
    });
    expect(late).toEqual([]);
  });
});
