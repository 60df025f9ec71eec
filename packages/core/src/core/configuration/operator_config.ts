/** The operators' configuration as checked types, and lookups in it. */
import {createHash} from 'node:crypto';
import type {ModelId, ServiceId, WorkspaceId} from '../ids/ids.js';
import {RANKS, type Rank} from '../ids/rank.js';

export interface ModelConfig {
  readonly model: ModelId;
  readonly version: string;
  readonly layers: number;
  readonly bytesPerLayer: number;
  /** Width of an activation in elements; absent if the operators gave none. */
  readonly hiddenSize?: number;
  /** Longest prompt plus answer in tokens. */
  readonly contextTokens?: number;
}

/** Declares whether calls that match a method and path are idempotent. */
export interface CallConfig {
  /** Upper-case HTTP method, or `*` for every method. */
  readonly method: string;
  /** `*` stands for any characters within one path segment. */
  readonly path: string;
  readonly idempotent: boolean;
}

export interface ServiceConfig {
  readonly service: ServiceId;
  readonly kind: 'model' | 'plain';
  /** Set if and only if the kind is `model`. */
  readonly model?: ModelId;
  /** Names of models and services. */
  readonly dependsOn: readonly string[];
  readonly rank: Rank;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  readonly calls: readonly CallConfig[];
}

export interface WorkspaceConfig {
  readonly workspace: WorkspaceId;
  readonly weight: number;
  /** Lower-case hex SHA-256 digests of the bearer keys. */
  readonly apiKeySha256: readonly string[];
  /** Services the workspace may use; absent means all. */
  readonly services?: ReadonlySet<ServiceId>;
}

export interface OperatorConfig {
  /** Version from which the edit started; 0 before the first one. */
  readonly revision: number;
  readonly models: ReadonlyMap<ModelId, ModelConfig>;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
  /** Reserved share of each rank in percent; the three add up to 100. */
  readonly reservedPercent: Readonly<Record<Rank, number>>;
  readonly workspaces: ReadonlyMap<WorkspaceId, WorkspaceConfig>;
  readonly workspacesByDigest: ReadonlyMap<string, WorkspaceConfig>;
}

/** One fault in the operators' file. */
export interface ConfigProblem {
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Dotted key; empty for the whole file. */
  readonly key: string;
  readonly message: string;
  /** What would be valid. */
  readonly hint: string;
}

export type ParsedConfig =
  | {readonly kind: 'valid'; readonly config: OperatorConfig}
  | {readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[]};

export const DEFAULT_RESERVED_PERCENT = {ordinary: 6, overnight: 2} as const;

/** Least share that the reserved shares must leave to the urgent rank. */
export const LEAST_URGENT_PERCENT = 50;

export const SERVICE_DEFAULTS = {
  rank: 'ordinary',
  firstTokenTargetMs: 960,
  betweenTokensTargetMs: 45,
  deadlineMs: 120_000,
} as const;

/** Returns the lower-case hex digest under which a bearer key is listed. */
export function digestOfKey(bearerKey: string): string {
  return createHash('sha256').update(bearerKey).digest('hex');
}

/** Finds the workspace of a bearer key with one hash and one map lookup. */
export function workspaceOfKey(
  config: OperatorConfig,
  bearerKey: string,
): WorkspaceConfig | undefined {
  return config.workspacesByDigest.get(digestOfKey(bearerKey));
}

export function mayUseService(
  workspace: WorkspaceConfig,
  service: ServiceId,
): boolean {
  return workspace.services?.has(service) ?? true;
}

/** Returns the reserved shares in the order of `RANKS`, as fractions of 1. */
export function reservedShares(config: OperatorConfig): number[] {
  return RANKS.map(rank => config.reservedPercent[rank] / 100);
}

/**
 * Whether a call may be run more than once. The first matching entry of the
 * service's calls decides, then the service's own setting. An unknown service
 * is not idempotent.
 * @param path may carry a query, which is ignored.
 */
export function isIdempotentCall(
  config: OperatorConfig,
  service: ServiceId,
  method: string,
  path: string,
): boolean {
  const found = config.services.get(service);
  if (!found) return false;
  if (found.calls.length === 0) return found.idempotent;
  const plainPath = path.split('?')[0];
  if (!isUnambiguousPath(plainPath)) return false;
  const call = found.calls.find(
    candidate =>
      (candidate.method === '*' || candidate.method === method.toUpperCase()) &&
      matchesPath(candidate.path, plainPath),
  );
  return call?.idempotent ?? found.idempotent;
}

/**
 * A service may resolve `..`, doubled or encoded separators to another path
 * than the one matched here, so such a path never counts as idempotent.
 */
function isUnambiguousPath(path: string): boolean {
  return (
    path.startsWith('/') &&
    !/%2f|%2e|%5c|\\|\/\//i.test(path) &&
    !path.split('/').some(segment => segment === '.' || segment === '..')
  );
}

/** Matches segment by segment; `*` never crosses a `/`. */
export function matchesPath(pattern: string, path: string): boolean {
  const wanted = pattern.split('/');
  const given = path.split('/');
  return (
    wanted.length === given.length &&
    wanted.every((segment, index) => matchesSegment(segment, given[index]))
  );
}

function matchesSegment(pattern: string, text: string): boolean {
  const parts = pattern.split('*');
  if (parts.length === 1) return pattern === text;
  if (text === '') return false;
  const first = parts[0];
  const last = parts[parts.length - 1];
  if (text.length < first.length + last.length) return false;
  if (!text.startsWith(first) || !text.endsWith(last)) return false;
  const end = text.length - last.length;
  let from = first.length;
  for (const part of parts.slice(1, -1)) {
    const at = text.indexOf(part, from);
    if (at < 0 || at + part.length > end) return false;
    from = at + part.length;
  }
  return true;
}
