/** Processes and plan that the measurements of one process need. */
import {
  HttpKeyValueService,
  PLAN_KEY,
  type Chain,
  type EngineInfo,
  type PeerAddress,
  type Plan,
} from '@azurecrank/core';
import {Fleet} from '../fleet/fleet.js';
import {configText} from './pure_slopes.js';

export const MODEL = 'large';
export const LAYERS = 80;
export const STAGES = 8;

const LAYERS_PER_STAGE = LAYERS / STAGES;

/** Workspaces of the configuration that all measured processes hold. */
const WORKSPACES = 100;

export function stageRange(stage: number) {
  const firstLayer = stage * LAYERS_PER_STAGE;
  return {firstLayer, endLayer: firstLayer + LAYERS_PER_STAGE};
}

export function engineInfo(stage: number): EngineInfo {
  return {
    model: MODEL,
    modelVersion: '1',
    ...stageRange(stage),
    accelerator: 'a',
    memoryBytes: 80e9,
    layerMs: 0.1,
    prefillLayerMs: 0.002,
    maxSequences: 64,
    checksFence: true,
  } as EngineInfo;
}

/** A chain of 8 stages whose stages have the given addresses. */
export function createChain(
  name: string,
  addressOf: (stage: number) => PeerAddress,
): Chain {
  const stages = Array.from({length: STAGES}, (_, stage) => ({
    server: `server-${name}-${stage}` as Chain['stages'][0]['server'],
    address: addressOf(stage),
    availabilityZone: 'zone-a',
    ...stageRange(stage),
  }));
  return {
    chain: `chain-${name}` as Chain['chain'],
    model: MODEL as Chain['model'],
    modelVersion: '1',
    stages,
  };
}

/**
 * Starts a key-value service with a configuration. The placement lease is
 * taken for good, so that no entry replaces the plan of a measurement.
 */
export async function startFleet(): Promise<Fleet> {
  const fleet = new Fleet();
  await fleet.startKeyValue();
  await fleet.applyConfig(configText(WORKSPACES));
  await write(fleet, 'leases/placement', '{}');
  return fleet;
}

export async function writePlan(
  fleet: Fleet,
  chains: readonly Chain[],
): Promise<void> {
  const plan = {version: 1, fence: 1, chains, services: {}} as unknown as Plan;
  await write(fleet, PLAN_KEY, JSON.stringify(plan));
}

async function write(fleet: Fleet, key: string, value: string): Promise<void> {
  const keyValue = new HttpKeyValueService(fleet.keyValueServiceUrl);
  const outcome = await keyValue.compareAndSwap(key, value, 0);
  keyValue[Symbol.dispose]();
  if (outcome.kind !== 'written') throw new Error(`${key} was not written`);
}

/** Reads and writes that the key-value stand-in has answered. */
export async function keyValueCalls(
  fleet: Fleet,
): Promise<{reads: number; writes: number}> {
  const response = await fetch(`${fleet.keyValueServiceUrl}/counts`);
  return (await response.json()) as {reads: number; writes: number};
}
