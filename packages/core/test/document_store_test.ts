import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  DEFAULT_WATCHER_TIMES,
  DocumentStore,
  DocumentWatcher,
  PLAN_KEY,
  differingLines,
  encodeConfigRecord,
  isElectedWatcher,
  nextConfigRecord,
  textForEditing,
  type ConfigRecord,
  type KeyValueService,
} from '../src/index.js';

const SEED = Number(process.env.TEST_SEED ?? Date.now() % 1_000_000);

function plan(version: number): string {
  return JSON.stringify({version, fence: 1, chains: [], services: {}});
}

function record(text: string, current?: ConfigRecord): ConfigRecord {
  return nextConfigRecord(current, text, {applyId: text, author: 'a', atMs: 1});
}

describe('DocumentStore', () => {
  describe('versions', () => {
    it(`never decrease for any sequence of documents (seed ${SEED})`, () => {
      const sequences = fc.array(fc.integer({min: -1, max: 9}));
      fc.assert(
        fc.property(sequences, versions => {
          const store = new DocumentStore();
          let highest = 0;
          for (const version of versions) {
            store.adoptIfNewer('plan', plan(version), 'peer', 0);
            highest = Math.max(highest, version);
            expect(store.version('plan')).toEqual(highest);
          }
        }),
        {seed: SEED},
      );
    });

    it('refuses and counts an older version from the key-value service', () => {
      const store = new DocumentStore();
      store.adoptIfNewer('plan', plan(5), 'peer', 0);
      const outcome = store.adoptIfNewer('plan', plan(4), 'key_value', 1);
      expect(outcome).toEqual('revert_refused');
      expect(store.count('revert_refused', 'key_value')).toEqual(1);
    });

    it('keeps the first of two documents with the same version', () => {
      const store = new DocumentStore();
      const first = encodeConfigRecord(record('a = 1'));
      store.adoptIfNewer('config', first, 'peer', 0);
      const fork = encodeConfigRecord(record('a = 2'));
      expect(store.adoptIfNewer('config', fork, 'peer', 0)).toEqual(
        'fork_refused',
      );
      expect(store.held('config')?.json).toEqual(first);
    });

    it('reports a document that cannot be decoded as unreadable', () => {
      const store = new DocumentStore();
      for (const json of ['', '{}', '{"version":1}', '[1]', 'null']) {
        expect(store.adoptIfNewer('plan', json, 'peer', 0)).toEqual(
          'unreadable',
        );
        expect(store.adoptIfNewer('config', json, 'peer', 0)).toEqual(
          'unreadable',
        );
      }
    });
  });

  describe('ages', () => {
    it('count only the key-value service as a confirmation', () => {
      const store = new DocumentStore();
      store.adoptIfNewer('plan', plan(1), 'key_value', 100);
      store.adoptIfNewer('plan', plan(1), 'peer', 150);
      expect(store.confirmedAgeMs('plan', 200)).toEqual(100);
      expect(store.contactAgeMs(200)).toEqual(50);
      expect(store.confirmedAgeMs('config', 200)).toEqual(Infinity);
    });
  });
});

describe('DocumentWatcher', () => {
  // Guards against polls that transfer the value although it has not changed.
  it('reads the value once and then polls for changes only', async () => {
    const calls: string[] = [];
    const json = plan(1);
    const keyValue = {
      get: async (key: string) => {
        calls.push(`get ${key}`);
        return key === PLAN_KEY ? {key, value: json, revision: 4} : undefined;
      },
      watch: async (key: string, after: number) => {
        calls.push(`watch ${key} ${after}`);
        return undefined;
      },
    } as unknown as KeyValueService;
    const store = new DocumentStore();
    const hooks = {
      isElected: () => false,
      offer: () => true,
      nowMs: () => performance.now(),
    };
    const times = {...DEFAULT_WATCHER_TIMES, pollMs: 2};
    using watcher = new DocumentWatcher(keyValue, store, hooks, times);
    watcher.start();
    const poll = `watch ${PLAN_KEY} 4`;
    while (calls.filter(call => call === poll).length < 2) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    const reads = calls.filter(call => call === `get ${PLAN_KEY}`);
    expect(reads.length).toEqual(1);
  });
});

describe('isElectedWatcher', () => {
  it('elects three processes of a zone if all know each other', () => {
    const nodes = Array.from({length: 40}, (_, index) => `side-${index}`);
    const elected = nodes.filter(node => isElectedWatcher(node, nodes));
    expect(elected.length).toEqual(3);
  });

  it('elects a process that knows no peers', () => {
    expect(isElectedWatcher('side-1', [])).toEqual(true);
  });
});

describe('configuration texts', () => {
  it('are shown with the version that an edit starts from', () => {
    const text = '# top\nrevision = 4 # base\n[models.a]\n';
    const shown = textForEditing({...record(text), version: 9 as never});
    expect(shown).toEqual('# top\nrevision = 9 # base\n[models.a]\n');
  });

  it('are compared line by line, ignoring the revision', () => {
    const accepted = 'revision = 1\na = 1\nb = 1\nc = 1';
    const yours = 'revision = 0\na = 1\nx = 1\nb = 2\nc = 1';
    expect(differingLines(accepted, yours)).toEqual([
      {side: 'accepted', line: 3, text: 'b = 1'},
      {side: 'yours', line: 3, text: 'x = 1'},
      {side: 'yours', line: 4, text: 'b = 2'},
    ]);
  });
});
