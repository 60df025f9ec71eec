/** Placeholder until the package has a public surface. */
export const PACKAGE = 'side';
export * from './core/calls/call_handler.js';
export * from './core/calls/call_slots.js';
export * from './core/calls/seen_calls.js';
