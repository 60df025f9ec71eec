/** Small helpers for specifications whose states are plain JSON values. */

function copy<Value>(value: Value): Value {
  if (Array.isArray(value)) return value.map(copy) as Value;
  if (typeof value !== 'object' || value === null) return value;
  const result: Record<string, unknown> = {};
  for (const [key, part] of Object.entries(value)) result[key] = copy(part);
  return result as Value;
}

/** Returns a copy of `state` to which `change` has been applied. */
export function after<State>(
  state: State,
  change: (draft: State) => void,
): State {
  const draft = copy(state);
  change(draft);
  return draft;
}

/**
 * Adds `message` to the network. A message stays in it for ever: it can be
 * delivered at any later time, any number of times and in any order, or never.
 * This covers loss, delay, duplication and reordering.
 */
export function send(network: string[], message: string): void {
  insert(network, message);
}

/** Adds `item` to a set kept as a sorted array. */
export function insert(set: string[], item: string): void {
  if (set.includes(item)) return;
  set.push(item);
  set.sort();
}
