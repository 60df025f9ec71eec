/** Placeholder until the package has a public surface. */
export const PACKAGE = 'azurecrank';
export * from './core/calls/call_dispatcher.js';
export * from './core/calls/call_retry.js';
export * from './core/calls/call_transport.js';
export * from './core/calls/hop_headers.js';
export * from './core/calls/server_choice.js';
