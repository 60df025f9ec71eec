/** Helpers to copy and change specification states, which are plain JSON values. */

function deepCopy<Value>(value: Value): Value {
  if (Array.isArray(value)) return value.map(deepCopy) as Value;
  if (typeof value !== 'object' || value === null) return value;
  const result: Record<string, unknown> = {};
  for (const [key, part] of Object.entries(value)) result[key] = deepCopy(part);
  return result as Value;
}

/** Returns a copy of `state` to which `change` has been applied. */
export function withChange<State>(
  state: State,
  change: (draft: State) => void,
): State {
  const draft = deepCopy(state);
  change(draft);
  return draft;
}

/**
 * Adds `message` to the network. Delivery does not remove it unless the
 * specification does so itself: it can be delivered at any later time, any
 * number of times and in any order, or never. This models loss, delay,
 * duplication and reordering.
 */
export function send(network: string[], message: string): void {
  insertSorted(network, message);
}

/** Adds `item` to a set that is stored as a sorted array. */
export function insertSorted(set: string[], item: string): void {
  if (set.includes(item)) return;
  set.push(item);
  set.sort();
}
