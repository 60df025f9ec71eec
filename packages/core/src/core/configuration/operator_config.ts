/** Types of the validated operators' configuration, and lookups in it. */
import {createHash} from 'node:crypto';
import type {ModelId, ServiceId, WorkspaceId} from '../ids/ids.js';
import {RANKS, type Rank} from '../ids/rank.js';

export interface ModelConfig {
  readonly model: ModelId;
  readonly version: string;
  readonly layers: number;
  readonly bytesPerLayer: number;
  /** Width of an activation in elements; absent if the file gives none. */
  readonly hiddenSize?: number;
  /** Maximum length of prompt plus generated answer, in tokens. */
  readonly contextTokens?: number;
}

/** Declares whether calls that match a method and path are idempotent. */
export interface CallConfig {
  /** Upper-case HTTP method, or `*` for every method. */
  readonly method: string;
  /** URL path, in which `*` matches any characters within one segment. */
  readonly path: string;
  readonly idempotent: boolean;
}

export interface ServiceConfig {
  readonly service: ServiceId;
  readonly kind: 'model' | 'plain';
  /** Set if and only if the kind is `model`. */
  readonly model?: ModelId;
  /** Names of the models and services that the service calls. */
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
  /** Relative share of the workspace in the fair queue. */
  readonly weight: number;
  /** Lower-case hex SHA-256 digests of the bearer keys. */
  readonly apiKeySha256: readonly string[];
  /** Services that the workspace may use; absent if it may use all. */
  readonly services?: ReadonlySet<ServiceId>;
}

export interface OperatorConfig {
  /** Version that the file was edited from; 0 before the first version. */
  readonly revision: number;
  readonly models: ReadonlyMap<ModelId, ModelConfig>;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
  /** Share of capacity reserved for each rank, in percent; the sum is 100. */
  readonly reservedPercent: Readonly<Record<Rank, number>>;
  readonly workspaces: ReadonlyMap<WorkspaceId, WorkspaceConfig>;
  /** Workspaces by the digest of each bearer key. */
  readonly workspacesByDigest: ReadonlyMap<string, WorkspaceConfig>;
}

/** One error in the operators' file. */
export interface ConfigProblem {
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Dotted key; empty if the problem concerns the whole file. */
  readonly key: string;
  readonly message: string;
  /** Describes a valid value, or the change that resolves the problem. */
  readonly hint: string;
}

export type ParsedConfig =
  | {readonly kind: 'valid'; readonly config: OperatorConfig}
  | {readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[]};

export const DEFAULT_RESERVED_PERCENT = {ordinary: 6, overnight: 2} as const;

/** Minimum share that the other ranks must leave to the urgent rank. */
export const MIN_URGENT_PERCENT = 50;

export const SERVICE_DEFAULTS = {
  rank: 'ordinary',
  firstTokenTargetMs: 960,
  betweenTokensTargetMs: 45,
  deadlineMs: 120_000,
} as const;

/** Returns the lower-case hex SHA-256 digest that the file lists for a bearer key. */
export function digestOfKey(bearerKey: string): string {
  return createHash('sha256').update(bearerKey).digest('hex');
}

/** Returns the workspace of a bearer key. */
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
 * Returns whether a call may run more than once. The first matching entry of
 * the service's calls decides, otherwise the setting of the service. Calls of
 * an unknown service are not idempotent.
 * @param path URL path; a query is ignored.
 */
export function isIdempotentCall(
  config: OperatorConfig,
  service: ServiceId,
  method: string,
  path: string,
): boolean {
  const serviceConfig = config.services.get(service);
  if (!serviceConfig) return false;
  if (serviceConfig.calls.length === 0) return serviceConfig.idempotent;
  const pathWithoutQuery = path.split('?')[0];
  if (!isUnambiguousPath(pathWithoutQuery)) return false;
  const call = serviceConfig.calls.find(
    candidate =>
      (candidate.method === '*' || candidate.method === method.toUpperCase()) &&
      matchesPath(candidate.path, pathWithoutQuery),
  );
  return call?.idempotent ?? serviceConfig.idempotent;
}

/**
 * Returns whether a service is sure to resolve the path as it is matched here.
 * It may resolve `..` and doubled or encoded separators to another path, so
 * calls to such a path never count as idempotent.
 */
function isUnambiguousPath(path: string): boolean {
  return (
    path.startsWith('/') &&
    !/%2f|%2e|%5c|\\|\/\//i.test(path) &&
    !path.split('/').some(segment => segment === '.' || segment === '..')
  );
}

/** Matches segment by segment; `*` does not match a `/`. */
export function matchesPath(pattern: string, path: string): boolean {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  return (
    patternSegments.length === pathSegments.length &&
    patternSegments.every((segment, index) =>
      matchesSegment(segment, pathSegments[index]),
    )
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
