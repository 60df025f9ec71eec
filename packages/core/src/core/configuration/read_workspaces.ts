/** Reads the workspaces of the operators' file. */
import type {ServiceId, WorkspaceId} from '../ids/ids.js';
import type {OperatorConfig, WorkspaceConfig} from './operator_config.js';
import {ProblemList, TableReader, type Table} from './table_reader.js';

const WORKSPACE_KEYS = ['weight', 'api_key_sha256', 'services'];
const DIGEST_KEY = 'api_key_sha256';

/** Smaller weights would inflate the start times in the fair queue needlessly. */
const MIN_WEIGHT = 0.001;
const MAX_WEIGHT = 100_000;
const DEFAULT_WEIGHT = 1;

/** Hexadecimal digits of a digest shown in problems. */
const SHOWN_DIGEST_DIGITS = 12;

type Workspaces = Pick<OperatorConfig, 'workspaces' | 'workspacesByDigest'>;

export function readWorkspaces(
  tables: ReadonlyMap<string, Table>,
  services: readonly string[],
  list: ProblemList,
): Workspaces {
  const workspaces = new Map<WorkspaceId, WorkspaceConfig>();
  const workspacesByDigest = new Map<string, WorkspaceConfig>();
  for (const [name, table] of tables) {
    const path = ['workspaces', name];
    const reader = new TableReader(list, path, table, WORKSPACE_KEYS);
    const workspace = readWorkspace(name as WorkspaceId, reader, services);
    workspaces.set(workspace.workspace, workspace);
    addDigests(workspace, reader, workspacesByDigest, list);
  }
  return {workspaces, workspacesByDigest};
}

function readWorkspace(
  workspace: WorkspaceId,
  reader: TableReader,
  services: readonly string[],
): WorkspaceConfig {
  const weight =
    reader.number('weight', {min: MIN_WEIGHT, max: MAX_WEIGHT}) ??
    DEFAULT_WEIGHT;
  if (!reader.has(DIGEST_KEY)) {
    reader.reportMissing(DIGEST_KEY, `${DIGEST_KEY} = ["64 hex digits"]`);
  }
  const digests = reader.strings(DIGEST_KEY) ?? [];
  const apiKeySha256 = digests.map(digest => digest.toLowerCase());
  if (!reader.has('services')) return {workspace, weight, apiKeySha256};
  const names = reader.names('services', services, 'service') as ServiceId[];
  return {workspace, weight, apiKeySha256, services: new Set(names)};
}

function addDigests(
  workspace: WorkspaceConfig,
  reader: TableReader,
  byDigest: Map<string, WorkspaceConfig>,
  list: ProblemList,
): void {
  for (const digest of workspace.apiKeySha256) {
    if (!/^[0-9a-f]{64}$/.test(digest)) {
      reader.reportProblem(
        DIGEST_KEY,
        `"${digest}" is not a SHA-256 digest`,
        '64 hex digits: the output of sha256sum over the key, without newline',
        digest,
      );
      continue;
    }
    const other = byDigest.get(digest);
    if (!other) {
      byDigest.set(digest, workspace);
      continue;
    }
    const otherPath = ['workspaces', other.workspace, DIGEST_KEY];
    const line = list.lines.lineOf(otherPath);
    reader.reportProblem(
      DIGEST_KEY,
      `digest ${digest.slice(0, SHOWN_DIGEST_DIGITS)}... is used twice`,
      `one key per workspace; "${other.workspace}" has it in line ${line}`,
      digest,
    );
  }
}
