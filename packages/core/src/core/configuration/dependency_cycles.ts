/** Detects circular dependencies between services by depth-first search. */
import type {ServiceConfig} from './operator_config.js';

/**
 * Returns each cycle once, starting at the service that was visited first.
 * A name that is both a service and a model refers to the service, except in
 * that service's own list, where it refers to the model.
 */
export function findDependencyCycles(
  services: ReadonlyMap<string, ServiceConfig>,
  models: ReadonlyMap<string, unknown>,
): string[][] {
  const cycles: string[][] = [];
  const visited = new Set<string>();
  const currentPath: string[] = [];
  const visit = (name: string): void => {
    const index = currentPath.indexOf(name);
    if (index >= 0) {
      cycles.push(currentPath.slice(index));
      return;
    }
    if (visited.has(name)) return;
    currentPath.push(name);
    for (const next of services.get(name)?.dependsOn ?? []) {
      if (!services.has(next)) continue;
      if (next === name && models.has(next)) continue;
      visit(next);
    }
    currentPath.pop();
    visited.add(name);
  };
  for (const name of services.keys()) visit(name);
  return cycles;
}
