/** Runs a benchmark: `npm run bench -- NAME [--seed N]`, `-- list`. */
import {readdirSync} from 'node:fs';
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

async function runBench(name: string, seed: number): Promise<number> {
  const benches = await loadBenches();
  if (name === 'list') {
    for (const bench of benches) {
      console.log(`${bench.name.padEnd(14)} ${bench.description}`);
    }
    return 0;
  }
  const bench = benches.find(candidate => candidate.name === name);
  if (!bench) {
    const names = benches.map(candidate => candidate.name).join(', ');
    console.error(`unknown benchmark ${name}; known: ${names}`);
    return 1;
  }
  const outcome = await bench.run({seed, log: line => console.log(line)});
  console.log(formatResult(name, seed, outcome));
  return 0;
}

const args = await yargs(hideBin(process.argv))
  .usage('npm run bench -- NAME [--seed N]')
  .option('seed', {
    type: 'number',
    default: 1,
    describe: 'Seed of the arrivals',
  })
  .demandCommand(1, 1, 'Give the name of a benchmark, or list.')
  .strict()
  .parse();
process.exitCode = await runBench(String(args._[0]), args.seed);
