/** Fleet of real processes and its clients, for tests, the demo and benchmarks. */
export * from './fleet/child_process.js';
export * from './fleet/fleet.js';
export * from './fleet/chat_client.js';
export * from './fleet/operator_file.js';
export * from './figures/claims.js';
export * from './fleet/call_client.js';
export * from './fleet/model_load.js';
export * from './fleet/process_metrics.js';
