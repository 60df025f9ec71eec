/** Conversion of a stage's input messages to routes and engine steps. */
import type {
  Activation,
  EngineInfo,
  EngineStep,
  ImportKv,
  StepMessage,
} from '@azurecrank/core';
import type {SequenceRoute} from './sequence_chart.js';

export type StageInput = StepMessage | Activation;

export function positionCountOf(input: StageInput): number {
  return input.type === 'step' ? input.tokens.length : input.count;
}

/** Returns the position after the last one of the input. */
export function endPositionOf(input: StageInput): number {
  return input.position + positionCountOf(input);
}

export function toRoute(message: StageInput | ImportKv): SequenceRoute {
  const {attempt, cacheSince, chain, stage, entry, rank} = message;
  return {attempt, cacheSince, chain, stage, entry, rank};
}

export function isSameLayerRange(a: EngineInfo, b: EngineInfo): boolean {
  return (
    a.model === b.model &&
    a.modelVersion === b.modelVersion &&
    a.firstLayer === b.firstLayer &&
    a.endLayer === b.endLayer
  );
}

/** Returns the engine step for `input` without its first `skip` positions. */
export function toEngineStep(
  sequence: string,
  input: StageInput,
  skip: number,
  priority: number,
): EngineStep {
  const position = input.position + skip;
  if (input.type === 'step') {
    const tokens = input.tokens.slice(skip);
    return {
      sequence,
      position,
      count: tokens.length,
      tokens,
      priority,
    };
  }
  const bytesPerPosition = input.data.length / input.count;
  const data = input.data.subarray(skip * bytesPerPosition);
  return {
    sequence,
    position,
    count: input.count - skip,
    data,
    priority,
  };
}
