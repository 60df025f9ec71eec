/** Checks the structure of the state charts; guards are not evaluated. */
import {readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import type {ChartDefinition} from '@azurecrank/core';

/** Intended final states by chart; charts not listed use the common names below. */
export const FINAL_STATES: Readonly<Record<string, readonly string[]>> = {
  request: ['complete', 'refused', 'failed', 'cancelled'],
  process: ['stopped'],
};

/** Names that a final state may have in a chart without an entry in `FINAL_STATES`. */
const COMMON_FINAL_STATE_NAMES =
  /^(stopped|closed|ended|complete|completed|done|refused|failed|cancelled|released|replaced|not_run|unknown|lost|expired)$/;

export interface ChartFile {
  /** File name without `.json`. */
  readonly name: string;
  readonly definition: ChartDefinition;
}

/** Reads every chart file of the core package. */
export function readCharts(): ChartFile[] {
  const entry = createRequire(import.meta.url).resolve('@azurecrank/core');
  const folder = join(dirname(entry), '..', '..', 'charts');
  return readdirSync(folder)
    .filter(file => file.endsWith('.json'))
    .sort()
    .map(file => ({
      name: file.slice(0, -'.json'.length),
      definition: JSON.parse(
        readFileSync(join(folder, file), 'utf8'),
      ) as ChartDefinition,
    }));
}

function getTargets(definition: ChartDefinition, state: string): string[] {
  const events = Object.values(definition.states[state]?.on ?? {});
  return events.flat().map(transition => transition.target);
}

function findReachableStates(definition: ChartDefinition): Set<string> {
  const reachable = new Set<string>();
  const pending = [definition.initial];
  for (let state = pending.pop(); state !== undefined; state = pending.pop()) {
    if (reachable.has(state)) continue;
    reachable.add(state);
    pending.push(...getTargets(definition, state));
  }
  return reachable;
}

function isIntendedFinalState(chart: string, state: string): boolean {
  const listed = FINAL_STATES[chart];
  return listed ? listed.includes(state) : COMMON_FINAL_STATE_NAMES.test(state);
}

/** Returns one line per fault; every guard is assumed to be possibly true. */
export function findChartFaults({name, definition}: ChartFile): string[] {
  const faults: string[] = [];
  const states = Object.keys(definition.states);
  if (definition.name !== name) faults.push(`name is ${definition.name}`);
  if (!states.includes(definition.initial)) {
    faults.push(`initial state ${definition.initial} does not exist`);
  }
  const reachable = findReachableStates(definition);
  for (const state of states) {
    const targets = getTargets(definition, state);
    for (const target of targets.filter(item => !states.includes(item))) {
      faults.push(`${state}: target ${target} does not exist`);
    }
    if (!reachable.has(state)) faults.push(`${state}: not reachable`);
    const hasExit = targets.some(target => target !== state);
    if (!hasExit && !isIntendedFinalState(name, state)) {
      faults.push(`${state}: no way out and not an intended final state`);
    }
    if (hasExit && FINAL_STATES[name]?.includes(state)) {
      faults.push(`${state}: listed as final but has a way out`);
    }
  }
  return faults;
}
