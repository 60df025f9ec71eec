/** Stand-ins for the platform's services, model engines and backend servers. */
export * from './http/faults.js';
export * from './http/standin_server.js';
export * from './key_value/key_value_standin.js';
export * from './engine/reference_model.js';
export * from './engine/engine_standin.js';
export * from './hosts/host_list_standin.js';
export * from './weights/weight_store_standin.js';
export * from './service/plain_service_standin.js';
export * from './forwarder/data_gate.js';
export * from './forwarder/forwarded_connection.js';
export * from './forwarder/tcp_forwarder.js';
