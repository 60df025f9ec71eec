/** Configurations and registrations as the operator and servers write them. */

export const HOST = 'works.example';

/** @param services names of plain services */
export function table({version, routes, services, keys}) {
  const tenants = [...new Set(Object.values(keys))].map(name => ({
    name,
    api_keys: Object.keys(keys).filter(key => keys[key] === name),
  }));
  return {
    version,
    routes: routes.map(route => ({
      host: HOST,
      prefix: `/${route.name}/`,
      kind: 'idempotent',
      timeout_ms: 4000,
      target_latency_ms: 500,
      priority: 1,
      max_attempts: 2,
      allow_anonymous: false,
      stream_resume: false,
      sticky_sessions: false,
      gap_aim_ms: 0,
      ...route,
    })),
    services: services.map(name => ({name, health_path: '/health'})),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants,
  };
}

export function registration({service, port, zone = 'river-ward', born}) {
  return {
    service,
    address: `127.0.0.1:${port}`,
    zone,
    version: 'v1',
    slots: 6,
    state: 'ready',
    cold_remaining_ms: 0,
    born: born ?? Date.now(),
    sequence: 1,
  };
}
