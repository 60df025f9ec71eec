import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {
  METRICS,
  REFUSALS,
  RETRY_REASONS,
  entrySettingsSchema,
  sideSettingsSchema,
} from '@azurecrank/core';
import {expect} from 'earl';

const ROOT = join(import.meta.dirname, '../../../..');
const PAGE = readFileSync(join(ROOT, 'docs/OPERATIONS.md'), 'utf8');
const SOURCES = ['core', 'azurecrank', 'side', 'forwarding'].map(name =>
  join(ROOT, 'packages', name, 'src'),
);
const CATALOG = 'metric_catalog.ts';

/** Returns the rows of the table below a heading whose first cell is the name. */
function findRows(heading: string, name: string): string[][] {
  const start = PAGE.indexOf(`\n## ${heading}\n`);
  const end = PAGE.indexOf('\n## ', start + 1);
  return PAGE.slice(start, end)
    .split('\n')
    .map(line => line.split('|').map(cell => cell.trim()))
    .filter(([, first]) => first === `\`${name}\``);
}

function snakeCase(key: string): string {
  return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

function readSources(): {readonly file: string; readonly text: string}[] {
  return SOURCES.flatMap(directory =>
    readdirSync(directory, {recursive: true, encoding: 'utf8'})
      .filter(file => file.endsWith('.ts'))
      .map(file => join(directory, file))
      .map(file => ({file, text: readFileSync(file, 'utf8')})),
  );
}

// Guards against a page that no longer matches the code.
describe('docs/OPERATIONS.md', () => {
  const shapes = {...entrySettingsSchema.shape, ...sideSettingsSchema.shape};
  for (const [key, field] of Object.entries(shapes)) {
    it(`has the setting ${snakeCase(key)} with its default`, () => {
      const rows = findRows('Settings', snakeCase(key));
      expect(rows.length).toEqual(1);
      const parsed = field.safeParse(undefined);
      const isDefaulted = parsed.success && parsed.data !== undefined;
      const value = parsed.data;
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      const absent = parsed.success ? 'optional' : '-';
      expect(rows[0][3]).toEqual(isDefaulted ? `\`${text}\`` : absent);
    });
  }

  it('has every message that the forwarding entry logs', () => {
    const call =
      /(?:logger\s*\.\s*(?:info|warn|error)|this\.log)\(\s*'([^']+)'/g;
    const messages = readSources()
      .filter(({file}) => file.includes('forwarding'))
      .flatMap(({text}) => [...text.matchAll(call)].map(match => match[1]));
    expect(messages.length).toBeGreaterThan(30);
    const missing = messages.filter(
      message => !PAGE.includes(`\`${message}\``),
    );
    expect(missing).toEqual([]);
  });

  for (const [reason, {status, ...rest}] of Object.entries(REFUSALS)) {
    it(`has the refusal ${reason} with its status`, () => {
      const [row, ...others] = findRows('Refusal reasons', reason);
      const retryAfterS = 'retryAfterS' in rest ? `${rest.retryAfterS}` : '';
      expect(others).toEqual([]);
      expect(row.slice(2, 4)).toEqual([String(status), retryAfterS]);
    });
  }

  it('has every retry reason', () => {
    for (const reason of RETRY_REASONS) {
      expect(findRows('Retry reasons', reason).length).toEqual(1);
    }
  });

  it('has every metric of the catalog with its processes', () => {
    for (const [name, {owners}] of Object.entries(METRICS)) {
      const [row, ...others] = findRows('Metrics', name);
      expect(others).toEqual([]);
      expect(row?.[2]).toEqual(owners.length === 2 ? 'both' : owners[0]);
    }
  });

  it('has the keys of the operators’ file', () => {
    const start = PAGE.indexOf("## Operators' file");
    const section = PAGE.slice(start, PAGE.indexOf('\n## ', start + 1));
    const lists = readSources()
      .filter(({file}) => file.includes('configuration/'))
      .flatMap(({text}) => [
        ...text.matchAll(/const \w+_KEYS = \[([^\]]*)\]/g),
      ]);
    const keys = lists.flatMap(([, list]) =>
      [...list.matchAll(/'(\w+)'/g)].map(([, key]) => key),
    );
    expect(keys.length).toBeGreaterThan(20);
    for (const key of [...keys, 'reserved_percent']) {
      expect(section).toInclude(key);
    }
  });
});

describe('metric catalog', () => {
  it('has exactly the names that the code uses', () => {
    const used = readSources()
      .filter(({file}) => !file.endsWith(CATALOG))
      .flatMap(({text}) => [...text.matchAll(/'(azurecrank_[a-z_]+)'/g)])
      .map(([, name]) => name);
    expect([...new Set(used)].sort()).toEqual(Object.keys(METRICS).sort());
  });
});
