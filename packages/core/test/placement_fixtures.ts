/** Registrations and models for the tests of the placement planner. */
import type {
  LinkTime,
  PlacementModel,
  RegisteredEngine,
  ServerRegistration,
} from '../src/index.js';

export const LAYERS = 12;

export const MODEL = {
  model: 'm',
  modelVersion: '1',
  layers: LAYERS,
  layerBytes: 1,
  tokenShare: 1,
} as PlacementModel;

export const zeroLinkTimeMs: LinkTime = () => 0;

export function createEngine(
  name: string,
  engine: Partial<RegisteredEngine> = {},
  zone = 'z1',
): ServerRegistration {
  return {
    server: name,
    epoch: 1,
    instance: `run-${name}`,
    host: `host-${name}`,
    address: `127.0.0.1:${1000 + Number(name.replace(/\D/g, ''))}`,
    availabilityZone: zone,
    region: 'r',
    state: 'live',
    engine: {
      model: 'm',
      modelVersion: '1',
      firstLayer: 0,
      endLayer: 0,
      accelerator: 'a',
      memoryBytes: 6,
      layerMs: 1,
      prefillLayerMs: 0.1,
      maxSequences: 8,
      checksFence: true,
      ...engine,
    },
  } as ServerRegistration;
}

/** A server whose engine already holds layers. */
export function createHolder(
  name: string,
  firstLayer: number,
  endLayer: number,
  zone = 'z1',
): ServerRegistration {
  return createEngine(name, {firstLayer, endLayer}, zone);
}
