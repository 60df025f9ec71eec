import {beforeEach, describe, it} from 'node:test';
import {Logger} from '@azurecrank/core';
import {UnreadableEntries} from '@azurecrank/forwarding';
import {expect} from 'earl';

const MINUTE_MS = 60_000;

describe('UnreadableEntries', () => {
  let lines: Array<{key: string; leftOut?: number}> = [];
  let entries: UnreadableEntries;

  beforeEach(() => {
    lines = [];
    const logger = new Logger('unreadable', 'warn', line =>
      lines.push(JSON.parse(line) as {key: string}),
    );
    entries = new UnreadableEntries(logger, 'unreadable');
  });

  // Guards against a line in the log for each heartbeat of another writer.
  it('logs an entry once until it is usable', () => {
    for (let atMs = 0; atMs < MINUTE_MS; atMs += 1000)
      entries.report('servers/odd', {cause: 'x'}, atMs);
    expect(lines.length).toEqual(1);
    entries.clear('servers/odd');
    entries.report('servers/odd', {cause: 'x'}, MINUTE_MS);
    expect(lines.length).toEqual(2);
  });

  it('logs a bounded number of entries in a minute', () => {
    for (let i = 0; i < 5000; i++) entries.report(`servers/${i}`, {}, i);
    expect(lines.length).toBeLessThanOrEqual(10);
    entries.report('servers/last', {}, 2 * MINUTE_MS);
    const last = lines.at(-1);
    expect([last?.key, last?.leftOut]).toEqual(['servers/last', 4990]);
  });

  it('cuts long keys', () => {
    entries.report('x'.repeat(1_000_000), {}, 0);
    expect(lines[0].key.length).toBeLessThanOrEqual(200);
  });
});
