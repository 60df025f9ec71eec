/** Stores an operators' file as the next configuration version at most once. */
import type {ConfigVersion} from '../ids/ids.js';
import {
  KeyValueUnavailableError,
  type KeyValueEntry,
  type KeyValueService,
} from '../platform/key_value_service.js';
import {
  CONFIG_KEY,
  MAX_RECORD_BYTES,
  createApplyId,
  decodeConfigRecord,
  encodeConfigRecord,
  nextConfigRecord,
  type ConfigRecord,
} from './config_record.js';
import type {ConfigProblem} from './operator_config.js';
import {parseOperatorConfig} from './parse_operator_config.js';
import {differingLines, type LineDifference} from './text_difference.js';

export type ApplyOutcome =
  | {readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[]}
  | {readonly kind: 'accepted'; readonly version: ConfigVersion}
  /** An earlier call stored the same edit as this version. */
  | {readonly kind: 'already_accepted'; readonly version: ConfigVersion}
  | ApplyConflict
  /** The write may or may not have taken effect; apply again to find out. */
  | {readonly kind: 'not_known'; readonly cause: string}
  /** Nothing was written. */
  | {readonly kind: 'not_reachable'; readonly cause: string};

/** The file was edited from a version that is not the current one. */
export interface ApplyConflict {
  readonly kind: 'conflict';
  readonly baseRevision: number;
  /** 0 if nothing has been accepted yet. */
  readonly currentVersion: number;
  /** Author of the current version; empty if nothing has been accepted yet. */
  readonly author: string;
  readonly atMs: number;
  readonly differences: readonly LineDifference[];
}

export interface ApplyOptions {
  /** File name shown in reported problems. */
  readonly file?: string;
  readonly nowMs?: number;
  /** Maximum number of read-and-write attempts before giving up. */
  readonly attempts?: number;
  /** Delay before each retry, in milliseconds. */
  readonly retryDelayMs?: number;
}

const DEFAULT_MAX_ATTEMPTS = 4;
const DEFAULT_RETRY_DELAY_MS = 100;

interface Edit {
  readonly text: string;
  readonly baseRevision: number;
  readonly applyId: string;
  readonly author: string;
  readonly atMs: number;
  readonly file: string;
}

/**
 * Writes the text by compare-and-swap. Retrying an unanswered write is safe:
 * every attempt expects the same revision, so at most one takes effect, and
 * the apply id in the stored record shows whether it was this edit.
 */
export async function applyConfig(
  keyValue: KeyValueService,
  text: string,
  author: string,
  options: ApplyOptions = {},
): Promise<ApplyOutcome> {
  const file = options.file ?? 'config.toml';
  const parsed = parseOperatorConfig(text, file);
  if (parsed.kind === 'invalid') return parsed;
  const baseRevision = parsed.config.revision;
  const applyId = createApplyId(baseRevision, text);
  const atMs = options.nowMs ?? Date.now();
  const edit = {text, baseRevision, applyId, author, atMs, file};
  const attempts = options.attempts ?? DEFAULT_MAX_ATTEMPTS;
  const delayMs = options.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS;
  return applyWithRetries(keyValue, edit, attempts, delayMs);
}

async function applyWithRetries(
  keyValue: KeyValueService,
  edit: Edit,
  attempts: number,
  delayMs: number,
): Promise<ApplyOutcome> {
  let mayHaveWritten = false;
  let cause = '';
  for (let attempt = 0; attempt < attempts; attempt++) {
    if (attempt > 0) await delay(delayMs);
    const result = await applyOnce(keyValue, edit, mayHaveWritten);
    if (result.kind === 'retryable') {
      mayHaveWritten ||= result.mayHaveWritten;
      cause = result.cause;
    } else {
      return result;
    }
  }
  return {kind: mayHaveWritten ? 'not_known' : 'not_reachable', cause};
}

interface RetryableFailure {
  readonly kind: 'retryable';
  /** Whether the attempt sent a write whose outcome is not known. */
  readonly mayHaveWritten: boolean;
  readonly cause: string;
}

async function applyOnce(
  keyValue: KeyValueService,
  edit: Edit,
  mayHaveWritten: boolean,
): Promise<ApplyOutcome | RetryableFailure> {
  let entry: KeyValueEntry | undefined;
  try {
    entry = await keyValue.get(CONFIG_KEY);
  } catch (error) {
    if (!(error instanceof KeyValueUnavailableError)) throw error;
    return {kind: 'retryable', mayHaveWritten: false, cause: error.message};
  }
  const current = entry && decodeConfigRecord(entry.value);
  const resolved = resolveWithoutWrite(current, edit, mayHaveWritten);
  if (resolved) return resolved;
  const record = nextConfigRecord(current, edit.text, {
    applyId: edit.applyId,
    author: edit.author,
    atMs: edit.atMs,
  });
  const value = encodeConfigRecord(record);
  const sizeBytes = Buffer.byteLength(value);
  if (sizeBytes > MAX_RECORD_BYTES) return recordTooLarge(edit.file, sizeBytes);
  const revision = entry?.revision ?? 0;
  const outcome = await keyValue.compareAndSwap(CONFIG_KEY, value, revision);
  if (outcome.kind === 'written') {
    return {kind: 'accepted', version: record.version};
  }
  if (outcome.kind === 'unknown') {
    return {kind: 'retryable', mayHaveWritten: true, cause: outcome.cause};
  }
  const stored = outcome.current && decodeConfigRecord(outcome.current.value);
  const retryable = {
    kind: 'retryable',
    mayHaveWritten: false,
    cause: 'the record was replaced by one of the same version',
  } as const;
  return resolveWithoutWrite(stored, edit, mayHaveWritten) ?? retryable;
}

/**
 * Resolves an edit that is already stored or that conflicts with `current`.
 * Returns undefined if the edit can be written on top of `current`.
 */
function resolveWithoutWrite(
  current: ConfigRecord | undefined,
  edit: Edit,
  mayHaveWritten: boolean,
): ApplyOutcome | undefined {
  const stored = current?.recent.find(apply => apply.applyId === edit.applyId);
  if (stored) {
    const kind = mayHaveWritten ? 'accepted' : 'already_accepted';
    return {kind, version: stored.version};
  }
  const currentVersion = current?.version ?? 0;
  if (edit.baseRevision === currentVersion) return undefined;
  return {
    kind: 'conflict',
    baseRevision: edit.baseRevision,
    currentVersion,
    author: current?.author ?? '',
    atMs: current?.atMs ?? 0,
    differences: differingLines(current?.text ?? '', edit.text),
  };
}

function recordTooLarge(file: string, sizeBytes: number): ApplyOutcome {
  const problem = {
    file,
    line: 1,
    key: '',
    message: `the file takes ${sizeBytes} bytes after compression`,
    hint: `at most ${MAX_RECORD_BYTES} bytes; remove unused workspaces or keys`,
  };
  return {kind: 'invalid', problems: [problem]};
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
