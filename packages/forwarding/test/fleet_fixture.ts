/** A model and a fleet of servers in three availability zones. */
import type {ServerId, ServiceId} from '@azurecrank/core';
import {
  applyOrders,
  planLayout,
  type BackendServer,
  type ModelSpec,
} from '@azurecrank/forwarding';

export const SERVICE = 'assistant' as ServiceId;

export const MODEL: ModelSpec = {
  layers: 80,
  layerMb: 1750,
  kvBytesPerToken: 845_373,
  stepMs: 0.85,
  stepPerSequenceMs: 0.0055,
  prefillTokensPerMs: 196,
  slots: 134,
  activationBytes: 42_268,
  crossZoneBandwidthMbps: 11_000,
  typicalPromptTokens: 772,
  typicalResponseTokens: 174,
  accelerators: new Map(
    [
      {name: 'h100', memoryMb: 72_000, decodeFactor: 1.4, prefillFactor: 1},
      {name: 'a100s', memoryMb: 36_000, decodeFactor: 3.1, prefillFactor: 3.2},
      {name: 'l4', memoryMb: 21_600, decodeFactor: 16, prefillFactor: 8.2},
      {name: 't4', memoryMb: 14_400, decodeFactor: 15, prefillFactor: 15},
    ].map(kind => [kind.name, kind]),
  ),
};

/** Availability zone, accelerator kind and number of servers. */
const SERVER_COUNTS: ReadonlyArray<readonly [string, string, number]> = [
  ['river', 'h100', 1],
  ['river', 'a100s', 1],
  ['mill', 'a100s', 1],
  ['depot', 'a100s', 2],
  ['river', 'l4', 5],
  ['mill', 'l4', 8],
  ['depot', 'l4', 4],
  ['river', 't4', 7],
  ['mill', 't4', 3],
  ['depot', 't4', 7],
];

/**
 * A fleet in which KV-cache tokens are scarce: many small servers beside few
 * fast ones, and several times the memory of the weights in each zone.
 */
const LARGE_FLEET_SERVER_COUNTS: typeof SERVER_COUNTS = [
  ['river', 'h100', 1],
  ['river', 'a100s', 1],
  ['mill', 'a100s', 2],
  ['depot', 'a100s', 2],
  ['river', 'l4', 8],
  ['mill', 'l4', 12],
  ['depot', 'l4', 6],
  ['river', 't4', 11],
  ['mill', 't4', 5],
  ['depot', 't4', 10],
];

/** Step time that 1,000 tokens of context add for a sequence. */
const STEP_PER_CONTEXT_KTOKEN_MS = 0.00285;

/** Tokens of context of a typical stream, halfway through its response. */
const TYPICAL_CONTEXT_TOKENS = 772 + 144 / 2;

/** The model of the large fleet. */
export const LARGE_FLEET_MODEL: ModelSpec = {
  ...MODEL,
  kvBytesPerToken: 328_000,
  stepPerSequenceMs:
    0.00212 + (STEP_PER_CONTEXT_KTOKEN_MS * TYPICAL_CONTEXT_TOKENS) / 1000,
  prefillTokensPerMs: 353,
  activationBytes: 16_400,
  crossZoneBandwidthMbps: 2700,
  typicalResponseTokens: 144,
};

/** Returns 39 servers that hold no layers. */
export function emptyFleet(): BackendServer[] {
  return createServers(SERVER_COUNTS);
}

/** Returns 58 servers that hold no layers. */
export function emptyLargeFleet(): BackendServer[] {
  return createServers(LARGE_FLEET_SERVER_COUNTS);
}

function createServers(counts: typeof SERVER_COUNTS): BackendServer[] {
  let number = 10;
  return counts.flatMap(([availabilityZone, accelerator, count]) =>
    Array.from({length: count}, () => {
      number++;
      return {
        server: `s${number}` as ServerId,
        service: SERVICE,
        address: `10.0.0.${number}:80`,
        availabilityZone,
        state: 'ready' as const,
        startedAtMs: 1,
        accelerator,
        layers: undefined,
      };
    }),
  );
}

/** Returns the fleet with the layers that the planner orders for it. */
export function laidOutFleet(): BackendServer[] {
  const servers = emptyFleet();
  return applyOrders(servers, planLayout(MODEL, servers));
}
