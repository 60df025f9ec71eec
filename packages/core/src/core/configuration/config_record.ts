/** The accepted configuration as one record in the key-value service. */
import {createHash} from 'node:crypto';
import {deflateSync, inflateSync} from 'node:zlib';
import type {ConfigVersion} from '../ids/ids.js';
import {KeyLines} from './key_lines.js';

/** Key of the accepted configuration in the key-value service. */
export const CONFIG_KEY = 'config/current';

/** Maximum size of a value in the key-value service. */
export const MAX_RECORD_BYTES = 1024 * 1024;

/** Maximum decompressed size, as a limit for damaged or malicious data. */
export const MAX_INFLATED_BYTES = 32 * 1024 * 1024;

/**
 * Number of recent applies kept in the record to recognize repeated ones:
 * about 6 hours at 780 changes a day. Repeating an older apply is reported as
 * a conflict instead of as already accepted; it cannot take effect twice,
 * because its base revision is no longer current.
 */
export const MAX_RECENT_APPLIES = 200;

/** Hexadecimal digits of the SHA-256 digest that an apply id keeps. */
const APPLY_ID_HEX_DIGITS = 32;

/** One accepted edit of the configuration. */
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

/**
 * Stored form. The text is compressed, because a configuration with 8,000
 * workspaces exceeds the size limit of 1 MiB.
 */
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
  return hash.digest('hex').slice(0, APPLY_ID_HEX_DIGITS);
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
    const inflated = inflateSync(data, {maxOutputLength: MAX_INFLATED_BYTES});
    return {...rest, text: inflated.toString('utf8')};
  } catch (error) {
    throw new ConfigRecordError(String(error));
  }
}

/** Builds the record of the version after `current`. */
export function nextConfigRecord(
  current: ConfigRecord | undefined,
  text: string,
  apply: Omit<RecentApply, 'version'>,
): ConfigRecord {
  const version = ((current?.version ?? 0) + 1) as ConfigVersion;
  const accepted: RecentApply = {...apply, version};
  const recent = [accepted, ...(current?.recent ?? [])].slice(
    0,
    MAX_RECENT_APPLIES,
  );
  return {...accepted, text, recent};
}

/** Returns the text with `revision` set to the version that an edit starts from. */
export function textForEditing(record: ConfigRecord): string {
  const line = new KeyLines(record.text).lineOf(['revision']);
  const lines = record.text.split('\n');
  lines[line - 1] = lines[line - 1].replace(
    /^(\s*"?'?revision"?'?\s*=\s*)[^\s#]+/,
    (_, start: string) => `${start}${record.version}`,
  );
  return lines.join('\n');
}
