/**
 * Measures the slopes of docs/CAPACITY.md: `npm run slopes -- [GROUP...]`.
 * Prints a table and, as last line, one JSON object.
 */
import {spawn} from 'node:child_process';
import {entryLinkSlopes, entryLoadSlopes} from './entry_slopes.js';
import type {Slope} from './fit.js';
import {headSlopes, stageLinkSlopes, stageSlopes} from './head_slopes.js';
import {
  baseFigures,
  keyValueSlopes,
  type BaseFigures,
} from './key_value_slopes.js';
import {machineSlopes} from './machine_slopes.js';
import {
  claimSlopes,
  configSlopes,
  electionSlope,
  frameSlopes,
  planSlopes,
  queueSlopes,
} from './pure_slopes.js';

const GROUPS: Readonly<Record<string, () => Promise<Slope[]> | Slope[]>> = {
  machine: machineSlopes,
  plan: planSlopes,
  config: configSlopes,
  queue: queueSlopes,
  claims: claimSlopes,
  frames: () => [electionSlope(), ...frameSlopes()],
  head: headSlopes,
  stage_links: stageLinkSlopes,
  stage: stageSlopes,
  entry_links: entryLinkSlopes,
  entry_load: entryLoadSlopes,
  key_value: keyValueSlopes,
};

function format(value: number): string {
  return Number(value.toPrecision(4)).toString();
}

function printSlope(slope: Slope): void {
  const {name, per, unit, intercept, slope: rate, r2, spread} = slope;
  const sizes = slope.points.map(({size}) => format(size)).join(',');
  const columns = [
    name.padEnd(26),
    `${format(intercept)} ${unit}`.padEnd(18),
    `${format(rate)} ${unit} per ${per}`.padEnd(36),
    `R2 ${r2.toFixed(3)}`,
    `spread ${(spread * 100).toFixed(0)}%`,
    `sizes ${sizes}`,
  ];
  console.log(columns.join('  '));
}

async function measureBase(): Promise<BaseFigures[]> {
  const code = 'setInterval(() => {}, 1000)';
  const bare = spawn(process.execPath, ['-e', code]);
  try {
    return await baseFigures(bare.pid ?? 0);
  } finally {
    bare.kill();
  }
}

async function main(names: readonly string[]): Promise<number> {
  const known = ['base', ...Object.keys(GROUPS)];
  const unknown = names.find(name => !known.includes(name));
  if (unknown !== undefined) {
    console.error(`unknown group ${unknown}; known: ${known.join(', ')}`);
    return 1;
  }
  const chosen = names.length > 0 ? names : known;
  const slopes: Slope[] = [];
  for (const name of chosen.filter(group => group !== 'base')) {
    const measured = await GROUPS[name]();
    measured.forEach(printSlope);
    slopes.push(...measured);
  }
  const base = chosen.includes('base') ? await measureBase() : [];
  console.log(JSON.stringify({base, slopes}));
  return 0;
}

process.exit(await main(process.argv.slice(2)));
