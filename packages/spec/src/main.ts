/** Checks every specification, also with single guards removed, and prints the results. */
import {CASES} from './specification_cases.js';
import type {Violation} from './checker.js';
import type {SpecificationCase} from './specification_case.js';

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printTrace(violation: Violation): void {
  for (const event of violation.events) print(`      ${event}`);
}

function reportInvariants(specification: SpecificationCase): boolean {
  const result = specification.check();
  print(`${specification.name}: ${result.stateCount} states`);
  if (!result.complete) print('  NOT PROVED: the limit of states was reached');
  for (const invariant of specification.invariants) {
    const violation = result.violations.find(v => v.invariant === invariant);
    print(`  ${violation ? 'VIOLATED' : 'holds'}: ${invariant}`);
    if (violation) printTrace(violation);
  }
  return result.complete && result.violations.length === 0;
}

function reportControls(specification: SpecificationCase): boolean {
  let allFail = true;
  for (const removed of specification.controls) {
    const violation = specification.checkControl(removed);
    allFail &&= violation !== undefined;
    const found = violation
      ? `${violation.invariant} fails after ${violation.events.length} events`
      : 'NO COUNTEREXAMPLE';
    print(`  without "${removed}": ${found}`);
    if (violation && process.argv.includes('--traces')) printTrace(violation);
  }
  return allFail;
}

function reportRedundantGuards(specification: SpecificationCase): boolean {
  let allHold = true;
  for (const removed of specification.redundantGuards) {
    const result = specification.checkRedundantGuard(removed);
    const holds = result.complete && result.violations.length === 0;
    allHold &&= holds;
    print(
      `  without "${removed}": ${holds ? 'still holds' : 'DOES NOT HOLD'}` +
        ` (${result.stateCount} states)`,
    );
  }
  return allHold;
}

let failedCount = 0;
const startMs = performance.now();
for (const specification of CASES) {
  const results = [
    reportInvariants(specification),
    reportControls(specification),
    reportRedundantGuards(specification),
  ];
  if (results.includes(false)) failedCount++;
}
const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
print(
  `${CASES.length - failedCount} proved, ${failedCount} failed in ${seconds} s`,
);
process.exitCode = failedCount === 0 ? 0 : 1;
