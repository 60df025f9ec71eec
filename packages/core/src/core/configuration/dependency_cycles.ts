/** Finds circular dependencies between services. */
import type {ServiceConfig} from './operator_config.js';

/**
 * Returns each cycle once, starting at the service that was reached first.
 * A name that is both a service and a model means the service, except in the
 * service's own list, where it means the model.
 */
export function findCycles(
  services: ReadonlyMap<string, ServiceConfig>,
  models: ReadonlyMap<string, unknown>,
): string[][] {
  const cycles: string[][] = [];
  const done = new Set<string>();
  const onPath: string[] = [];
  const visit = (name: string): void => {
    const at = onPath.indexOf(name);
    if (at >= 0) {
      cycles.push(onPath.slice(at));
      return;
    }
    if (done.has(name)) return;
    onPath.push(name);
    for (const next of services.get(name)?.dependsOn ?? []) {
      if (!services.has(next)) continue;
      if (next === name && models.has(next)) continue;
      visit(next);
    }
    onPath.pop();
    done.add(name);
  };
  for (const name of services.keys()) visit(name);
  return cycles;
}
