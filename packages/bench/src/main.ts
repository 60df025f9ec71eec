/** Runs benchmarks: `npm run bench -- NAME|all|list [--seed N]`. */
import {readdirSync} from 'node:fs';
import {loadavg} from 'node:os';
import {join} from 'node:path';
import {pathToFileURL} from 'node:url';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {formatResult, type Bench} from './framework/bench.js';

const BENCHES_DIRECTORY = join(import.meta.dirname, 'benches');

/** Each file in `benches/` exports one `bench`. */
async function loadBenches(): Promise<Bench[]> {
  const files = readdirSync(BENCHES_DIRECTORY).filter(file =>
    file.endsWith('.js'),
  );
  const modules = await Promise.all(
    files
      .sort()
      .map(file => import(pathToFileURL(join(BENCHES_DIRECTORY, file)).href)),
  );
  return modules.map(module => (module as {bench: Bench}).bench);
}

/** Runs one benchmark and returns its result line. */
async function runOne(bench: Bench, seed: number): Promise<string> {
  const log = (line: string) => console.log(`  ${line}`);
  const startMs = performance.now();
  console.log(`${bench.name}, seed ${seed}, load ${formatLoadAverage()}`);
  const outcome = await bench.run({seed, log});
  const elapsedS = ((performance.now() - startMs) / 1000).toFixed(1);
  log(`took ${elapsedS} s, load after it ${formatLoadAverage()}`);
  return formatResult(bench.name, seed, outcome);
}

/** Returns the load average of the machine over the last minute. */
function formatLoadAverage(): string {
  return loadavg()[0].toFixed(1);
}

/** Runs all benchmarks, then prints all result lines; returns the exit code. */
async function runAll(
  benches: readonly Bench[],
  seed: number,
): Promise<number> {
  const resultLines: string[] = [];
  const failedNames: string[] = [];
  for (const bench of benches) {
    try {
      resultLines.push(await runOne(bench, seed));
    } catch (error) {
      console.error(`benchmark ${bench.name} failed to run:`, error);
      failedNames.push(bench.name);
    }
  }
  if (failedNames.length > 0)
    console.error(`failed to run: ${failedNames.join(', ')}`);
  for (const line of resultLines) console.log(line);
  return failedNames.length > 0 ? 1 : 0;
}

/** Runs the command NAME, `all` or `list`; returns the exit code. */
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
    console.error(`unknown benchmark ${name}; known benchmarks: ${names}`);
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
// Exits explicitly, because open client connections would keep the process alive.
process.exit(await runBench(String(args._[0]), args.seed));
