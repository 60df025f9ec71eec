/** Public API of the specification package. */
export * from './checker.js';
export * from './specification_case.js';
export * from './specification_cases.js';
export * from './chart_check.js';
