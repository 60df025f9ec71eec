/** Inputs of a stage: their extent, their route and their engine step. */
import type {
  Activation,
  EngineInfo,
  EngineStep,
  ImportKv,
  StepMessage,
} from '@azurecrank/core';
import type {SequenceRoute} from './sequence_chart.js';

export type Input = StepMessage | Activation;

export function countOf(input: Input): number {
  return input.type === 'step' ? input.tokens.length : input.count;
}

export function endOf(input: Input): number {
  return input.position + countOf(input);
}

export function toRoute(message: Input | ImportKv): SequenceRoute {
  const {attempt, cacheSince, chain, stage, entry, rank} = message;
  return {attempt, cacheSince, chain, stage, entry, rank};
}

export function isSameRange(a: EngineInfo, b: EngineInfo): boolean {
  return (
    a.model === b.model &&
    a.modelVersion === b.modelVersion &&
    a.firstLayer === b.firstLayer &&
    a.endLayer === b.endLayer
  );
}

export function toEngineStep(
  sequence: string,
  input: Input,
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
