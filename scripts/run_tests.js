/**
 * Test runner: runs the compiled test files whose path contains every argument,
 * and ends with the line `N passed, N failed`. Failures of the tests listed in
 * KNOWN-RED.txt are printed but not counted; any other failure makes the exit
 * code 1, and so does a run in which no test passes.
 */
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join, relative, resolve} from 'node:path';

const ROOT = resolve(import.meta.dirname ?? '.', '..');

/** Integration tests start processes, so few files run at the same time. */
const MAX_CONCURRENT_FILES = 3;
const TEST_FILE_TIMEOUT_MS = 180_000;

function findTestFiles(pathFilters) {
  return readdirSync(join(ROOT, 'packages'))
    .map(name => join('packages', name))
    .concat('platform')
    .map(path => join(ROOT, path, 'dist', 'test'))
    .filter(existsSync)
    .flatMap(dir =>
      readdirSync(dir, {recursive: true}).map(file => join(dir, String(file))),
    )
    .filter(file => file.endsWith('_test.js'))
    .filter(file => pathFilters.every(filter => file.includes(filter)))
    .sort();
}

/** Returns the names of the tests that may fail: one `test: NAME` line each. */
function readKnownRedTests() {
  const path = join(ROOT, 'KNOWN-RED.txt');
  if (!existsSync(path)) return new Set();
  const lines = readFileSync(path, 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim()),
  );
}

const knownRedTests = readKnownRedTests();
const files = findTestFiles(process.argv.slice(2));
const failedKnownRedTests = [];
let passed = 0;
let failed = 0;

/** Passed suites are not counted: the tests inside them are. */
const isSuite = event => event.details.type === 'suite';
/** A suite that fails only because of its tests; those are reported themselves. */
const isFailureOfSubtest = event =>
  event.details.error?.failureType === 'subtestsFailed';

const stream = run({
  files,
  concurrency: MAX_CONCURRENT_FILES,
  timeout: TEST_FILE_TIMEOUT_MS,
});
stream.on('test:pass', event => {
  if (!isSuite(event) && !event.skip) passed++;
});
stream.on('test:fail', event => {
  if (isFailureOfSubtest(event)) return;
  if (knownRedTests.has(event.name)) {
    failedKnownRedTests.push(event.name);
    return;
  }
  failed++;
  console.log(`FAILED ${event.name} (${relative(ROOT, event.file ?? '')})`);
});
stream.compose(new spec()).pipe(process.stdout);
stream.on('end', () => {
  setImmediate(() => {
    for (const name of failedKnownRedTests) console.log(`known red: ${name}`);
    if (passed === 0) failed++;
    console.log(`${passed} passed, ${failed} failed`);
    process.exitCode = failed === 0 ? 0 : 1;
  });
});
