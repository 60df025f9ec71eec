/** Structural check of state charts, whatever their guards mean. */
import {readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import type {ChartDefinition} from '@azurecrank/core';

/** States without a way out that are meant to be the end, by chart. */
export const FINAL_STATES: Readonly<Record<string, readonly string[]>> = {
  request: ['complete', 'refused', 'failed', 'cancelled'],
  process: ['stopped'],
};

/** A state that ends a chart and is not listed above has one of these names. */
const COMMON_FINAL_NAME =
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

function targetsOf(definition: ChartDefinition, state: string): string[] {
  const events = Object.values(definition.states[state]?.on ?? {});
  return events.flat().map(transition => transition.target);
}

function findReachable(definition: ChartDefinition): Set<string> {
  const reached = new Set<string>();
  const pending = [definition.initial];
  for (let at = pending.pop(); at !== undefined; at = pending.pop()) {
    if (reached.has(at)) continue;
    reached.add(at);
    pending.push(...targetsOf(definition, at));
  }
  return reached;
}

function isIntendedFinal(chart: string, state: string): boolean {
  const listed = FINAL_STATES[chart];
  return listed ? listed.includes(state) : COMMON_FINAL_NAME.test(state);
}

/** Returns a line for each fault; guards are taken as possibly true. */
export function findChartFaults({name, definition}: ChartFile): string[] {
  const faults: string[] = [];
  const states = Object.keys(definition.states);
  if (definition.name !== name) faults.push(`name is ${definition.name}`);
  if (!states.includes(definition.initial)) {
    faults.push(`initial state ${definition.initial} does not exist`);
  }
  const reachable = findReachable(definition);
  for (const state of states) {
    const targets = targetsOf(definition, state);
    for (const target of targets.filter(item => !states.includes(item))) {
      faults.push(`${state}: target ${target} does not exist`);
    }
    if (!reachable.has(state)) faults.push(`${state}: not reachable`);
    const hasWayOut = targets.some(target => target !== state);
    if (!hasWayOut && !isIntendedFinal(name, state)) {
      faults.push(`${state}: no way out and not an intended final state`);
    }
    if (hasWayOut && FINAL_STATES[name]?.includes(state)) {
      faults.push(`${state}: listed as final but has a way out`);
    }
  }
  return faults;
}
