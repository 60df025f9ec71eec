/** A generated fleet at the scale of the design page, for pure benchmarks. */
import type {
  LinkTime,
  ModelId,
  PeerAddress,
  PlacementModel,
  ServerId,
  ServerRegistration,
} from '@azurecrank/core';
import {stableHash} from '@azurecrank/core';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const GB = 1e9;

/**
 * Four kinds of accelerators; a server has about four of its kind. The slowest
 * runs the 80 layers of the largest model in 36 ms, within the 45 ms permitted
 * between tokens.
 */
const KINDS = [
  {accelerator: 'a', layerMs: 0.1, memoryBytes: 80 * GB},
  {accelerator: 'b', layerMs: 0.16, memoryBytes: 80 * GB},
  {accelerator: 'c', layerMs: 0.28, memoryBytes: 48 * GB},
  {accelerator: 'd', layerMs: 0.45, memoryBytes: 24 * GB},
] as const;

const ZONES = ['east-1', 'east-2', 'east-3', 'west-1', 'west-2'];
const RACKS_PER_ZONE = 8;

export const FLEET_SERVERS = 610;

export const BENCH_MODELS: readonly PlacementModel[] = [
  createModel('large', 80, 3 * GB, 4),
  createModel('medium', 64, 2 * GB, 3),
  createModel('small', 32, 1.5 * GB, 2),
  createModel('tiny', 24, 1 * GB, 1),
];

function createModel(
  name: string,
  layers: number,
  layerBytes: number,
  share: number,
): PlacementModel {
  const model = name as ModelId;
  return {model, modelVersion: '1', layers, layerBytes, tokenShare: share};
}

/** Engines that hold no layers; kinds, zones and racks are drawn from `seed`. */
export function createFleet(
  seed: number,
  count = FLEET_SERVERS,
): ServerRegistration[] {
  const generator = xoroshiro128plus(seed);
  return Array.from({length: count}, (_, index) => {
    const kind = KINDS[uniformInt(generator, 0, KINDS.length - 1)];
    const zone = ZONES[uniformInt(generator, 0, ZONES.length - 1)];
    const rack = uniformInt(generator, 1, RACKS_PER_ZONE);
    return createServer(index, kind, zone, rack);
  });
}

function createServer(
  index: number,
  kind: (typeof KINDS)[number],
  zone: string,
  rack: number,
): ServerRegistration {
  const server = `server-${String(index).padStart(4, '0')}` as ServerId;
  return {
    server,
    epoch: 1,
    instance: `run-${index}`,
    host: `${zone}-rack${rack}-host${index}`,
    address: `127.0.0.1:${10_000 + index}` as PeerAddress,
    availabilityZone: zone,
    region: zone.split('-')[0],
    state: 'live',
    engine: {
      ...kind,
      model: '' as ModelId,
      modelVersion: '',
      firstLayer: 0,
      endLayer: 0,
      prefillLayerMs: kind.layerMs / 50,
      maxSequences: 64,
      checksFence: true,
    },
  };
}

/**
 * Times of the links, from 0.05 ms within a rack to 5 ms between regions and
 * on the one in twenty pairs of racks whose link is degraded.
 */
export const fleetLinks: LinkTime = (from, to) => {
  if (from.region !== to.region) return 5;
  if (from.availabilityZone !== to.availabilityZone) return 0.5;
  const racks = [rackOf(from.host), rackOf(to.host)].sort();
  if (racks[0] === racks[1]) return 0.05;
  return stableHash(racks.join('\0')) % 20 === 0 ? 5 : 0.25;
};

function rackOf(host: string): string {
  return host.slice(0, host.lastIndexOf('-'));
}
