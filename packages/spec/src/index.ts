/** Public surface of the specifications. */
export * from './checker.js';
export * from './specification_case.js';
export * from './cases.js';
export * from './chart_check.js';
