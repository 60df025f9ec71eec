import {beforeEach, describe, it} from 'node:test';
import {Logger, type KeyValueService} from '@azurecrank/core';
import {expect} from 'earl';
import {EntryDirectory} from '../src/core/peers/entry_directory.js';

const ENTRIES = ['entry-1', 'entry-2'].map((node, i) => ({
  key: `azurecrank/entries/${node}`,
  value: `10.0.0.${i}:1`,
}));

const snapshotOf = (entries: typeof ENTRIES) => ({
  entries,
  revision: 1,
  era: 1,
});

describe('EntryDirectory', () => {
  let directory: EntryDirectory;
  let changes: number;

  beforeEach(() => {
    changes = 0;
    const keyValue = {} as KeyValueService;
    const logger = new Logger('test', 'silent');
    directory = new EntryDirectory({
      keyValue,
      node: 'test',
      logger,
      nowMs: () => 0,
      onExpiry: () => changes++,
    });
    directory.applySnapshot(snapshotOf(ENTRIES));
  });

  describe('after an outage or a restore of the store', () => {
    // Guards against entries that take the budgets of all others for theirs
    // and no longer report to them, until these have registered again.
    it('keeps entries that are missing until a grace time is over', t => {
      t.mock.timers.enable({apis: ['setTimeout']});
      directory.applySnapshot(snapshotOf([]), true);
      t.mock.timers.tick(5000);
      expect([...directory.entries].length).toEqual(2);
      directory.applyChanges([ENTRIES[0]]);
      t.mock.timers.tick(1000);
      expect([...directory.entries]).toEqual([ENTRIES[0].value as never]);
      expect(changes).toEqual(1);
    });

    it('drops an entry whose removal the store shows', () => {
      using disposed = directory;
      disposed.applySnapshot(snapshotOf([ENTRIES[0]]), true);
      disposed.applyChanges([{key: ENTRIES[1].key, value: undefined}]);
      expect(disposed.entryCount).toEqual(1);
    });

    it('takes the layout lease for free if its key is missing', () => {
      using disposed = directory;
      const lease = {key: 'azurecrank/layout', value: '{}'};
      disposed.applyChanges([lease]);
      disposed.applySnapshot(snapshotOf([]), true);
      expect(disposed.hasLayoutLeaseHolder).toEqual(false);
    });
  });

  it('drops missing entries at once after a compaction', () => {
    directory.applySnapshot(snapshotOf([ENTRIES[0]]));
    expect(directory.entryCount).toEqual(1);
  });
});
