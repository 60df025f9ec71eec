/** Exports of the entry process for other packages and tests. */
export * from './core/generation/generation.js';
export * from './core/generation/generation_types.js';
export * from './core/generation/generation_table.js';
export * from './core/gateway/caller_directory.js';
export * from './core/gateway/chat_gateway.js';
export * from './core/process/entry_process.js';
export * from './core/calls/call_dispatcher.js';
export * from './core/calls/call_retry.js';
export * from './core/calls/call_transport.js';
export * from './core/calls/hop_headers.js';
export * from './core/calls/server_choice.js';
export * from './core/gateway/refusal_sender.js';
export * from './core/gateway/http_body.js';
export * from './core/placement/lease_holder.js';
