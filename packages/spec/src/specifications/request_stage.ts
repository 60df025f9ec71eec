/** Rules of a stage in the request specification (design, section 4.1). */
import {insertSorted, send} from '../state_tools.js';
import type {RequestState, Sequence, Stage} from './request_state.js';

export interface StageOptions {
  readonly chains: ReadonlyArray<readonly string[]>;
  /** Attempt that runs everything again; 0 for none. */
  readonly wholeRunAttempt: number;
  /** Number of outputs kept in the activation log. */
  readonly logLength: number;
  readonly dropsStaleAttempt: boolean;
  readonly skipsDuplicates: boolean;
  readonly answersGap: boolean;
  readonly replayCarriesChain: boolean;
  readonly remembersReleased: boolean;
  readonly wholeRunDiscards: boolean;
  readonly reloadDiscards: boolean;
}

interface Delivery {
  readonly request: string;
  readonly attempt: number;
  readonly stage: number;
}

/** Delivers a message to the stage it addresses; a frozen one takes none. */
export function deliverToStage(
  state: RequestState,
  options: StageOptions,
  message: string,
): void {
  const [type, request, attempt, index, ...rest] = message.split(' ');
  const to: Delivery = {request, attempt: +attempt, stage: +index};
  const explicit = rest[3];
  const name = explicit ?? options.chains[to.attempt - 1][to.stage];
  const stage = state.stages[name];
  if (stage.frozen) return;
  if (options.remembersReleased && stage.released.includes(request)) return;
  if (type === 'run') return onRun(state, options, stage, to, rest);
  const sequence = stage.sequences[request];
  if (type === 'release') return onRelease(stage, sequence, to);
  if (!sequence || to.attempt < sequence.attempt) return;
  if (type === 'reroute') adopt(sequence, to.attempt);
  if (type === 'gap') forward(state, options, sequence, to, +rest[0]);
  if (type === 'replay') {
    if (options.replayCarriesChain) adopt(sequence, to.attempt);
    sequence.attempt = to.attempt;
    forward(state, options, sequence, to, +rest[0]);
  }
}

function onRelease(stage: Stage, sequence: Sequence | undefined, to: Delivery) {
  if (sequence && to.attempt < sequence.attempt) return;
  delete stage.sequences[to.request];
  insertSorted(stage.released, to.request);
}

function adopt(sequence: Sequence, attempt: number): void {
  if (attempt <= sequence.attempt) return;
  sequence.attempt = attempt;
  sequence.chain = attempt;
}

function onRun(
  state: RequestState,
  options: StageOptions,
  stage: Stage,
  to: Delivery,
  [fromText, countText, content]: readonly string[],
): void {
  const [from, end] = [+fromText, +fromText + +countText];
  const sequence = findSequence(options, stage, to, content);
  if (options.dropsStaleAttempt && to.attempt < sequence.attempt) return;
  adopt(sequence, to.attempt);
  if (options.answersGap && from > sequence.next) {
    const {request, attempt, stage: index} = to;
    const gap = `gap ${request} ${attempt} ${index - 1} ${sequence.next}`;
    send(state.network, gap);
    return;
  }
  stage.sequences[to.request] = sequence;
  const start = options.skipsDuplicates ? Math.max(from, sequence.next) : from;
  for (let position = start; position < end; position++) {
    run(options, stage, sequence, to, position, content);
  }
  const isNew = start < end;
  forward(state, options, sequence, to, isNew ? start : from, end, isNew);
}

function findSequence(
  options: StageOptions,
  stage: Stage,
  to: Delivery,
  content: string,
): Sequence {
  const {request, attempt} = to;
  const fresh = {attempt, chain: attempt, next: 0, cache: content};
  const known = stage.sequences[request];
  if (!known) return fresh;
  const isWholeRun = attempt === options.wholeRunAttempt;
  const discards = options.wholeRunDiscards && isWholeRun;
  return discards && known.attempt < attempt ? fresh : known;
}

function run(
  options: StageOptions,
  stage: Stage,
  sequence: Sequence,
  to: Delivery,
  position: number,
  content: string,
): void {
  const isWholeRun = sequence.attempt === options.wholeRunAttempt;
  const epoch = isWholeRun ? 'whole' : 'first';
  const ran = (stage.ran[`${to.request} ${epoch} ${stage.engine}`] ??= []);
  ran.push(position);
  const isRight = position === sequence.next && content === sequence.cache;
  if (!isRight) sequence.cache = 'x';
  sequence.next = position + 1;
}

/** Sends outputs to the next stage or the entry; old ones need the log. */
function forward(
  state: RequestState,
  options: StageOptions,
  sequence: Sequence,
  to: Delivery,
  from: number,
  end = sequence.next,
  isNew = false,
): void {
  const {request, attempt, stage} = to;
  const oldest = sequence.next - options.logLength;
  if (from >= end || (!isNew && from < oldest)) return;
  const chain = options.chains[sequence.chain - 1];
  const value = sequence.cache;
  if (stage === chain.length - 1) {
    const token = value === 'x' ? 'x' : `${value}${end - 1}`;
    send(state.network, `token ${request} ${attempt} ${end - 1} ${token}`);
    return;
  }
  const next = chain[stage + 1];
  const range = `${from} ${end - from}`;
  send(
    state.network,
    `run ${request} ${attempt} ${stage + 1} ${range} ${value} ${next}`,
  );
}
