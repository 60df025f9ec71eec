/** Public surface of the entry process, for tests. */
export * from './core/generation/generation.js';
export * from './core/generation/generation_table.js';
export * from './core/gateway/caller_directory.js';
export * from './core/gateway/gateway.js';
export * from './core/process/entry_process.js';
