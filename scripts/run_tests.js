/**
 * Runs every compiled test file and ends with the line `N passed, N failed`.
 * Tests listed in KNOWN-RED.txt may fail; they are printed and do not change
 * the exit code. Any other failure does.
 */
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join, relative, resolve} from 'node:path';

const ROOT = resolve(import.meta.dirname ?? '.', '..');

/** Integration tests start processes, so few files run at the same time. */
const CONCURRENT_FILES = 3;

function findTestFiles(filters) {
  return readdirSync(join(ROOT, 'packages'))
    .map(name => join('packages', name))
    .concat('platform')
    .map(path => join(ROOT, path, 'dist', 'test'))
    .filter(existsSync)
    .flatMap(dir =>
      readdirSync(dir, {recursive: true}).map(file => join(dir, String(file))),
    )
    .filter(file => file.endsWith('_test.js'))
    .filter(file => filters.every(filter => file.includes(filter)))
    .sort();
}

/** Each entry starts with a line `test: NAME`. */
function readKnownRed() {
  const path = join(ROOT, 'KNOWN-RED.txt');
  if (!existsSync(path)) return new Set();
  const lines = readFileSync(path, 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim()),
  );
}

const knownRed = readKnownRed();
const files = findTestFiles(process.argv.slice(2));
const seenKnownRed = [];
let passed = 0;
let failed = 0;

/** A failing suite is reported through the failing tests inside it. */
const isSuite = event => event.details.type === 'suite';
const failsInChild = event =>
  event.details.error?.failureType === 'subtestsFailed';

const stream = run({files, concurrency: CONCURRENT_FILES, timeout: 180_000});
stream.on('test:pass', event => {
  if (!isSuite(event) && !event.skip) passed++;
});
stream.on('test:fail', event => {
  if (failsInChild(event)) return;
  if (knownRed.has(event.name)) {
    seenKnownRed.push(event.name);
    return;
  }
  failed++;
  console.log(`FAILED ${event.name} (${relative(ROOT, event.file ?? '')})`);
});
stream.compose(new spec()).pipe(process.stdout);
stream.on('end', () => {
  setImmediate(() => {
    for (const name of seenKnownRed) console.log(`known red: ${name}`);
    if (passed === 0) failed++;
    console.log(`${passed} passed, ${failed} failed`);
    process.exitCode = failed === 0 ? 0 : 1;
  });
});
