import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  DEFAULT_RUNNER_TIMES,
  DocumentFollower,
  DocumentRunner,
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

describe('DocumentFollower', () => {
  describe('versions', () => {
    it(`only rise, whatever arrives (seed ${SEED})`, () => {
      const versions = fc.array(fc.integer({min: -1, max: 9}));
      fc.assert(
        fc.property(versions, offered => {
          const follower = new DocumentFollower();
          let highest = 0;
          for (const version of offered) {
            follower.offer('plan', plan(version), 'peer', 0);
            highest = Math.max(highest, version);
            expect(follower.version('plan')).toEqual(highest);
          }
        }),
        {seed: SEED},
      );
    });

    it('counts a refused revert of the key-value service', () => {
      const follower = new DocumentFollower();
      follower.offer('plan', plan(5), 'peer', 0);
      const outcome = follower.offer('plan', plan(4), 'key_value', 1);
      expect(outcome).toEqual('revert_refused');
      expect(follower.count('revert_refused', 'key_value')).toEqual(1);
    });

    it('keeps the first of two documents with one version', () => {
      const follower = new DocumentFollower();
      const first = encodeConfigRecord(record('a = 1'));
      follower.offer('config', first, 'peer', 0);
      const fork = encodeConfigRecord(record('a = 2'));
      expect(follower.offer('config', fork, 'peer', 0)).toEqual('fork_refused');
      expect(follower.held('config')?.json).toEqual(first);
    });

    it('does not take a document that cannot be read', () => {
      const follower = new DocumentFollower();
      for (const json of ['', '{}', '{"version":1}', '[1]', 'null']) {
        expect(follower.offer('plan', json, 'peer', 0)).toEqual('unreadable');
        expect(follower.offer('config', json, 'peer', 0)).toEqual('unreadable');
      }
    });
  });

  describe('ages', () => {
    it('takes only the key-value service for a confirmation', () => {
      const follower = new DocumentFollower();
      follower.offer('plan', plan(1), 'key_value', 100);
      follower.offer('plan', plan(1), 'peer', 150);
      expect(follower.confirmedAgeMs('plan', 200)).toEqual(100);
      expect(follower.contactAgeMs(200)).toEqual(50);
      expect(follower.confirmedAgeMs('config', 200)).toEqual(Infinity);
    });
  });
});

describe('DocumentRunner', () => {
  // Guards against polls that transfer an unchanged document.
  it('reads the value once and then polls for changes', async () => {
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
    const follower = new DocumentFollower();
    const hooks = {
      isElected: () => false,
      offer: () => true,
      nowMs: () => performance.now(),
    };
    const times = {...DEFAULT_RUNNER_TIMES, pollMs: 2};
    using runner = new DocumentRunner(keyValue, follower, hooks, times);
    runner.start();
    const polled = `watch ${PLAN_KEY} 4`;
    while (calls.filter(call => call === polled).length < 2) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    const reads = calls.filter(call => call === `get ${PLAN_KEY}`);
    expect(reads.length).toEqual(1);
  });
});

describe('isElectedWatcher', () => {
  it('elects exactly three of a zone whose processes know each other', () => {
    const nodes = Array.from({length: 40}, (_, index) => `side-${index}`);
    const elected = nodes.filter(node => isElectedWatcher(node, nodes));
    expect(elected.length).toEqual(3);
  });

  it('elects a process that knows nobody', () => {
    expect(isElectedWatcher('side-1', [])).toEqual(true);
  });
});

describe('texts of records', () => {
  it('shows the text with the version to edit from', () => {
    const text = '# top\nrevision = 4 # base\n[models.a]\n';
    const shown = textForEditing({...record(text), version: 9 as never});
    expect(shown).toEqual('# top\nrevision = 9 # base\n[models.a]\n');
  });

  it('lists differing lines by side and ignores the revision', () => {
    const accepted = 'revision = 1\na = 1\nb = 1\nc = 1';
    const yours = 'revision = 0\na = 1\nx = 1\nb = 2\nc = 1';
    expect(differingLines(accepted, yours)).toEqual([
      {side: 'accepted', line: 3, text: 'b = 1'},
      {side: 'yours', line: 3, text: 'x = 1'},
      {side: 'yours', line: 4, text: 'b = 2'},
    ]);
  });
});
