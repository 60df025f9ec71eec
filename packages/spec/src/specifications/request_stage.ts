/** How a path stage handles messages in the request specification (design, section 4.1). */
import {insertSorted, send} from '../state_tools.js';
import type {RequestState, Sequence, Stage} from './request_state.js';

export interface StageOptions {
  readonly paths: ReadonlyArray<readonly string[]>;
  /** Attempt that runs the request again from the first position; 0 for none. */
  readonly wholeRunAttempt: number;
  /** Number of outputs kept in the activation log. */
  readonly activationLogLength: number;
  readonly dropsStaleAttempt: boolean;
  readonly skipsDuplicates: boolean;
  readonly answersGap: boolean;
  readonly replayCarriesPath: boolean;
  readonly remembersReleased: boolean;
  readonly wholeRunDiscards: boolean;
  readonly reloadDiscards: boolean;
}

interface Delivery {
  readonly requestId: string;
  readonly attempt: number;
  readonly stageIndex: number;
}

/** Delivers a message to the stage it addresses; a frozen stage ignores it. */
export function deliverToStage(
  state: RequestState,
  options: StageOptions,
  message: string,
): void {
  const [type, request, attempt, index, ...rest] = message.split(' ');
  const to: Delivery = {
    requestId: request,
    attempt: +attempt,
    stageIndex: +index,
  };
  const explicit = rest[3];
  const name = explicit ?? options.paths[to.attempt - 1][to.stageIndex];
  const stage = state.stages[name];
  if (stage.frozen) return;
  if (options.remembersReleased && stage.releasedRequests.includes(request))
    return;
  if (type === 'run') return onRun(state, options, stage, to, rest);
  const sequence = stage.sequences[request];
  if (type === 'release') return onRelease(stage, sequence, to);
  if (!sequence || to.attempt < sequence.attempt) return;
  if (type === 'reroute') adoptAttempt(sequence, to.attempt);
  if (type === 'gap') forwardOutputs(state, options, sequence, to, +rest[0]);
  if (type === 'replay') {
    if (options.replayCarriesPath) adoptAttempt(sequence, to.attempt);
    sequence.attempt = to.attempt;
    forwardOutputs(state, options, sequence, to, +rest[0]);
  }
}

function onRelease(stage: Stage, sequence: Sequence | undefined, to: Delivery) {
  if (sequence && to.attempt < sequence.attempt) return;
  delete stage.sequences[to.requestId];
  insertSorted(stage.releasedRequests, to.requestId);
}

function adoptAttempt(sequence: Sequence, attempt: number): void {
  if (attempt <= sequence.attempt) return;
  sequence.attempt = attempt;
  sequence.pathAttempt = attempt;
}

function onRun(
  state: RequestState,
  options: StageOptions,
  stage: Stage,
  to: Delivery,
  [fromText, countText, content]: readonly string[],
): void {
  const [from, end] = [+fromText, +fromText + +countText];
  const sequence = getOrCreateSequence(options, stage, to, content);
  if (options.dropsStaleAttempt && to.attempt < sequence.attempt) return;
  adoptAttempt(sequence, to.attempt);
  if (options.answersGap && from > sequence.nextPosition) {
    const {requestId, attempt, stageIndex: index} = to;
    const gap = `gap ${requestId} ${attempt} ${index - 1} ${sequence.nextPosition}`;
    send(state.network, gap);
    return;
  }
  stage.sequences[to.requestId] = sequence;
  const start = options.skipsDuplicates
    ? Math.max(from, sequence.nextPosition)
    : from;
  for (let position = start; position < end; position++) {
    runPosition(options, stage, sequence, to, position, content);
  }
  const isNew = start < end;
  forwardOutputs(
    state,
    options,
    sequence,
    to,
    isNew ? start : from,
    end,
    isNew,
  );
}

function getOrCreateSequence(
  options: StageOptions,
  stage: Stage,
  to: Delivery,
  content: string,
): Sequence {
  const {requestId: request, attempt} = to;
  const fresh = {
    attempt,
    pathAttempt: attempt,
    nextPosition: 0,
    cacheContent: content,
  };
  const known = stage.sequences[request];
  if (!known) return fresh;
  const isWholeRun = attempt === options.wholeRunAttempt;
  const discards = options.wholeRunDiscards && isWholeRun;
  return discards && known.attempt < attempt ? fresh : known;
}

function runPosition(
  options: StageOptions,
  stage: Stage,
  sequence: Sequence,
  to: Delivery,
  position: number,
  content: string,
): void {
  const isWholeRun = sequence.attempt === options.wholeRunAttempt;
  const epoch = isWholeRun ? 'whole' : 'first';
  const ran = (stage.positionsRun[
    `${to.requestId} ${epoch} ${stage.engineGeneration}`
  ] ??= []);
  ran.push(position);
  const isCorrect =
    position === sequence.nextPosition && content === sequence.cacheContent;
  if (!isCorrect) sequence.cacheContent = 'x';
  sequence.nextPosition = position + 1;
}

/**
 * Sends outputs to the next stage or, from the last stage, to the entry. Outputs
 * computed earlier can be sent only while the activation log holds them.
 */
function forwardOutputs(
  state: RequestState,
  options: StageOptions,
  sequence: Sequence,
  to: Delivery,
  from: number,
  end = sequence.nextPosition,
  isNew = false,
): void {
  const {requestId: request, attempt, stageIndex: stage} = to;
  const oldest = sequence.nextPosition - options.activationLogLength;
  if (from >= end || (!isNew && from < oldest)) return;
  const path = options.paths[sequence.pathAttempt - 1];
  const value = sequence.cacheContent;
  if (stage === path.length - 1) {
    const token = value === 'x' ? 'x' : `${value}${end - 1}`;
    send(state.network, `token ${request} ${attempt} ${end - 1} ${token}`);
    return;
  }
  const next = path[stage + 1];
  const range = `${from} ${end - from}`;
  send(
    state.network,
    `run ${request} ${attempt} ${stage + 1} ${range} ${value} ${next}`,
  );
}
