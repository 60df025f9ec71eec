/** Runs benchmarks: `npm run bench -- NAME|all|list [--seed N]`. */
import {readdirSync} from 'node:fs';
import {loadavg} from 'node:os';
import {join} from 'node:path';
import {pathToFileURL} from 'node:url';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {formatResult, type Bench} from './framework/bench.js';

const BENCHES_DIR = join(import.meta.dirname, 'benches');

/** Each file in `benches/` exports one `bench`. */
async function loadBenches(): Promise<Bench[]> {
  const files = readdirSync(BENCHES_DIR).filter(file => file.endsWith('.js'));
  const modules = await Promise.all(
    files
      .sort()
      .map(file => import(pathToFileURL(join(BENCHES_DIR, file)).href)),
  );
  return modules.map(module => (module as {bench: Bench}).bench);
}

/** Returns the result line. */
async function runOne(bench: Bench, seed: number): Promise<string> {
  const log = (line: string) => console.log(`  ${line}`);
  const startMs = performance.now();
  console.log(`${bench.name}, seed ${seed}, load ${formatLoad()}`);
  const outcome = await bench.run({seed, log});
  const elapsedS = ((performance.now() - startMs) / 1000).toFixed(1);
  log(`took ${elapsedS} s, load after it ${formatLoad()}`);
  return formatResult(bench.name, seed, outcome);
}

/** Load average over one minute. */
function formatLoad(): string {
  return loadavg()[0].toFixed(1);
}

/** Runs all and prints their result lines together; returns the exit code. */
async function runAll(
  benches: readonly Bench[],
  seed: number,
): Promise<number> {
  const lines: string[] = [];
  const failed: string[] = [];
  for (const bench of benches) {
    try {
      lines.push(await runOne(bench, seed));
    } catch (error) {
      console.error(`benchmark ${bench.name} failed to run:`, error);
      failed.push(bench.name);
    }
  }
  if (failed.length > 0) console.error(`failed to run: ${failed.join(', ')}`);
  for (const line of lines) console.log(line);
  return failed.length > 0 ? 1 : 0;
}

async function runBench(name: string, seed: number): Promise<number> {
  const benches = await loadBenches();
  if (name === 'list') {
    for (const bench of benches) {
      console.log(`${bench.name.padEnd(16)} ${bench.description}`);
    }
    return 0;
  }
  if (name === 'all') return runAll(benches, seed);
  const bench = benches.find(candidate => candidate.name === name);
  if (!bench) {
    const names = benches.map(candidate => candidate.name).join(', ');
    console.error(`unknown benchmark ${name}; known: ${names}`);
    return 1;
  }
  console.log(await runOne(bench, seed));
  return 0;
}

const args = await yargs(hideBin(process.argv))
  .usage('npm run bench -- NAME|all|list [--seed N]')
  .option('seed', {
    type: 'number',
    default: 1,
    describe: 'Seed of the arrivals',
  })
  .demandCommand(1, 1, 'Give the name of a benchmark, all, or list.')
  .strict()
  .parse();
// Connections that clients keep open would delay the end of the process.
process.exit(await runBench(String(args._[0]), args.seed));
