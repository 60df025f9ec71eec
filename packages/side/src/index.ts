/** Exports of the side process for tests. */
export * from './core/sequences/sequence_chart.js';
export * from './core/sequences/activation_log.js';
export * from './core/sequences/stage_runner.js';
export * from './core/sequences/stage.js';
export * from './core/head/admission_controller.js';
export * from './core/registration/registration.js';
export * from './core/process/side_process.js';
export * from './core/calls/call_handler.js';
export * from './core/calls/call_slots.js';
export * from './core/calls/received_calls.js';
