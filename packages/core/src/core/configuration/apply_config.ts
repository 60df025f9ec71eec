/** Accepts an operators' file as the next version, at most once. */
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
  /** The same edit was accepted before, as this version. */
  | {readonly kind: 'already_accepted'; readonly version: ConfigVersion}
  | ApplyConflict
  /** The write may or may not have taken effect; apply again to find out. */
  | {readonly kind: 'not_known'; readonly cause: string}
  /** Nothing was written. */
  | {readonly kind: 'not_reachable'; readonly cause: string};

/** The file starts from another version than the current one. */
export interface ApplyConflict {
  readonly kind: 'conflict';
  readonly baseRevision: number;
  /** 0 if nothing has been accepted yet. */
  readonly currentVersion: number;
  /** Who was first; empty if nothing has been accepted yet. */
  readonly author: string;
  readonly atMs: number;
  readonly differences: readonly LineDifference[];
}

export interface ApplyOptions {
  /** Name of the file in problems. */
  readonly file?: string;
  readonly nowMs?: number;
  /** Rounds of reading and writing before the outcome counts as not known. */
  readonly attempts?: number;
  /** Wait before another round, in milliseconds. */
  readonly retryDelayMs?: number;
}

const DEFAULT_ATTEMPTS = 4;
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
 * Writes the text by compare-and-swap. Repeating an unanswered write is safe:
 * it expects the same revision, so at most one of the writes takes effect,
 * and the apply id in the record tells whose it was.
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
  const attempts = options.attempts ?? DEFAULT_ATTEMPTS;
  const delayMs = options.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS;
  return applyInRounds(keyValue, edit, attempts, delayMs);
}

async function applyInRounds(
  keyValue: KeyValueService,
  edit: Edit,
  attempts: number,
  delayMs: number,
): Promise<ApplyOutcome> {
  let mayHaveWritten = false;
  let cause = '';
  for (let attempt = 0; attempt < attempts; attempt++) {
    if (attempt > 0) await delay(delayMs);
    const round = await applyOnce(keyValue, edit, mayHaveWritten);
    if (round.kind === 'again') {
      mayHaveWritten ||= round.mayHaveWritten;
      cause = round.cause;
    } else {
      return round;
    }
  }
  return {kind: mayHaveWritten ? 'not_known' : 'not_reachable', cause};
}

interface Again {
  readonly kind: 'again';
  readonly mayHaveWritten: boolean;
  readonly cause: string;
}

async function applyOnce(
  keyValue: KeyValueService,
  edit: Edit,
  mayHaveWritten: boolean,
): Promise<ApplyOutcome | Again> {
  let entry: KeyValueEntry | undefined;
  try {
    entry = await keyValue.get(CONFIG_KEY);
  } catch (error) {
    if (!(error instanceof KeyValueUnavailableError)) throw error;
    return {kind: 'again', mayHaveWritten: false, cause: error.message};
  }
  const current = entry && decodeConfigRecord(entry.value);
  const decided = decideByRecord(current, edit, mayHaveWritten);
  if (decided) return decided;
  const record = nextConfigRecord(current, edit.text, {
    applyId: edit.applyId,
    author: edit.author,
    atMs: edit.atMs,
  });
  const value = encodeConfigRecord(record);
  const sizeBytes = Buffer.byteLength(value);
  if (sizeBytes > MAX_RECORD_BYTES) return tooLarge(edit.file, sizeBytes);
  const revision = entry?.revision ?? 0;
  const outcome = await keyValue.compareAndSwap(CONFIG_KEY, value, revision);
  if (outcome.kind === 'written') {
    return {kind: 'accepted', version: record.version};
  }
  if (outcome.kind === 'unknown') {
    return {kind: 'again', mayHaveWritten: true, cause: outcome.cause};
  }
  const winner = outcome.current && decodeConfigRecord(outcome.current.value);
  const again = {
    kind: 'again',
    mayHaveWritten: false,
    cause: 'the record was replaced by one of the same version',
  } as const;
  return decideByRecord(winner, edit, mayHaveWritten) ?? again;
}

/** Returns undefined if the edit can be written on top of `current`. */
function decideByRecord(
  current: ConfigRecord | undefined,
  edit: Edit,
  mayHaveWritten: boolean,
): ApplyOutcome | undefined {
  const found = current?.recent.find(apply => apply.applyId === edit.applyId);
  if (found) {
    const kind = mayHaveWritten ? 'accepted' : 'already_accepted';
    return {kind, version: found.version};
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

function tooLarge(file: string, sizeBytes: number): ApplyOutcome {
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
