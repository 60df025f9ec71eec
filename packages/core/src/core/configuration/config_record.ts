/** The accepted configuration as it is stored under one key. */
import {createHash} from 'node:crypto';
import {deflateSync, inflateSync} from 'node:zlib';
import type {ConfigVersion} from '../ids/ids.js';
import {KeyLines} from './key_lines.js';

/** Key of the accepted configuration in the key-value service. */
export const CONFIG_KEY = 'config/current';

/** Largest value that the key-value service stores. */
export const MAX_RECORD_BYTES = 1024 * 1024;

/** Bounds inflation of a damaged or hostile document. */
export const MAX_DOCUMENT_BYTES = 32 * 1024 * 1024;

/**
 * Applies remembered in the record: about 6 hours at 780 changes a day. An
 * older apply cannot take effect twice either, because its revision is past;
 * it is then reported as a conflict instead of as already accepted.
 */
export const RECENT_LIMIT = 200;

/** One accepted apply. */
export interface RecentApply {
  readonly applyId: string;
  readonly version: ConfigVersion;
  readonly author: string;
  readonly atMs: number;
}

export interface ConfigRecord extends RecentApply {
  readonly text: string;
  /** Accepted applies including this one, newest first. */
  readonly recent: readonly RecentApply[];
}

/** Stored form; the text is deflated, because 8,000 workspaces exceed 1 MB. */
interface StoredRecord extends RecentApply {
  readonly deflatedText: string;
  readonly recent: readonly RecentApply[];
}

export class ConfigRecordError extends Error {
  constructor(cause: string) {
    super(`the record under ${CONFIG_KEY} cannot be read: ${cause}`);
    this.name = 'ConfigRecordError';
  }
}

/** Identifies an edit by the version it started from and its text. */
export function createApplyId(baseRevision: number, text: string): string {
  const hash = createHash('sha256').update(`${baseRevision}\n${text}`);
  return hash.digest('hex').slice(0, 32);
}

export function encodeConfigRecord(record: ConfigRecord): string {
  const {text, ...rest} = record;
  const deflatedText = deflateSync(text, {level: 9}).toString('base64');
  return JSON.stringify({...rest, deflatedText} satisfies StoredRecord);
}

/** @throws ConfigRecordError */
export function decodeConfigRecord(value: string): ConfigRecord {
  try {
    const {deflatedText, ...rest} = JSON.parse(value) as StoredRecord;
    if (!Number.isSafeInteger(rest.version) || rest.version < 1) {
      throw new TypeError(`version is ${String(rest.version)}`);
    }
    const data = Buffer.from(deflatedText, 'base64');
    const inflated = inflateSync(data, {maxOutputLength: MAX_DOCUMENT_BYTES});
    return {...rest, text: inflated.toString('utf8')};
  } catch (error) {
    throw new ConfigRecordError(String(error));
  }
}

/** Builds the record that follows `current`. */
export function nextConfigRecord(
  current: ConfigRecord | undefined,
  text: string,
  apply: Omit<RecentApply, 'version'>,
): ConfigRecord {
  const version = ((current?.version ?? 0) + 1) as ConfigVersion;
  const accepted: RecentApply = {...apply, version};
  const recent = [accepted, ...(current?.recent ?? [])].slice(0, RECENT_LIMIT);
  return {...accepted, text, recent};
}

/** Returns the text with its `revision` set to the record's version. */
export function textForEditing(record: ConfigRecord): string {
  const line = new KeyLines(record.text).lineOf(['revision']);
  const lines = record.text.split('\n');
  lines[line - 1] = lines[line - 1].replace(
    /^(\s*"?'?revision"?'?\s*=\s*)[^\s#]+/,
    (_, start: string) => `${start}${record.version}`,
  );
  return lines.join('\n');
}
