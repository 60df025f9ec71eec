import {after, before, describe, it} from 'node:test';
import {
  CONFIG_KEY,
  HttpKeyValueService,
  applyConfig,
  createApplyId,
  decodeConfigRecord,
  type ApplyOutcome,
  type ConfigRecord,
} from '@azurecrank/core';
import {KeyValueStandin} from '@azurecrank/standins';
import {expect} from 'earl';
import fc from 'fast-check';

const SEED = Number(process.env.TEST_SEED ?? Date.now() % 1_000_000);
const RUNS = 40;
const OPTIONS = {retryDelayMs: 1};

function textOf(revision: number, comment: string): string {
  return `revision = ${revision}\n# ${comment}\n`;
}

async function withService(
  use: (
    standin: KeyValueStandin,
    service: HttpKeyValueService,
  ) => Promise<void>,
): Promise<void> {
  const standin = await new KeyValueStandin().start();
  const service = new HttpKeyValueService(standin.url);
  try {
    await use(standin, service);
  } finally {
    service[Symbol.dispose]();
    standin[Symbol.dispose]();
  }
}

async function readRecord(
  service: HttpKeyValueService,
): Promise<ConfigRecord | undefined> {
  const entry = await service.get(CONFIG_KEY);
  return entry && decodeConfigRecord(entry.value);
}

describe('applyConfig', () => {
  describe('outcomes', () => {
    let standin: KeyValueStandin;
    let service: HttpKeyValueService;
    before(async () => {
      standin = await new KeyValueStandin().start();
      service = new HttpKeyValueService(standin.url);
    });
    after(() => {
      service[Symbol.dispose]();
      standin[Symbol.dispose]();
    });
    const apply = (text: string, author: string) =>
      applyConfig(service, text, author, {...OPTIONS, nowMs: 1000});

    it('accepts a file, recognizes a repeated apply and reports conflicts', async () => {
      const first = textOf(0, 'first');
      expect(await apply(first, 'ann')).toEqual(accepted(1));
      expect(await apply(first, 'ann')).toEqual({
        kind: 'already_accepted',
        version: 1 as never,
      });
      expect(await apply(textOf(0, 'second'), 'bob')).toEqual({
        kind: 'conflict',
        baseRevision: 0,
        currentVersion: 1,
        author: 'ann',
        atMs: 1000,
        differences: [
          {side: 'accepted', line: 2, text: '# first'},
          {side: 'yours', line: 2, text: '# second'},
        ],
      });
    });

    // Guards against a second version of a file that is applied again, because
    // its answer was lost, after a newer version was accepted.
    it('recognizes an apply with a lost answer below a newer version', async () => {
      const lostText = textOf(1, 'lost');
      // The first write takes effect; its answer and all reads are lost.
      standin.faults.loseAnswers = 0;
      const read = service.get.bind(service);
      const failingReads = Object.create(service) as HttpKeyValueService;
      failingReads.get = async key => {
        const entry = await read(key);
        standin.faults.loseAnswers = 1;
        return entry;
      };
      const singleAttempt = {...OPTIONS, attempts: 1};
      const outcome = await applyConfig(
        failingReads,
        lostText,
        'ann',
        singleAttempt,
      );
      standin.faults.loseAnswers = 0;
      expect(outcome.kind).toEqual('not_known');
      expect(await apply(textOf(2, 'newer'), 'bob')).toEqual(accepted(3));
      expect(await apply(lostText, 'ann')).toEqual({
        kind: 'already_accepted',
        version: 2 as never,
      });
      expect((await readRecord(service))?.version).toEqual(3 as never);
    });

    it('writes nothing when the service is down', async () => {
      standin.faults.down = true;
      const outcome = await apply(textOf(3, 'down'), 'ann');
      standin.faults.down = false;
      expect(outcome.kind).toEqual('not_reachable');
      expect((await readRecord(service))?.version).toEqual(3 as never);
    });

    it('writes nothing for an invalid file', async () => {
      const outcome = await apply('revision = 3\nmodel = 1\n', 'ann');
      expect(outcome.kind).toEqual('invalid');
      expect((await readRecord(service))?.version).toEqual(3 as never);
    });
  });

  describe('races of two operators', () => {
    // Guards against versions that are lost, duplicated or not based on their
    // predecessor.
    it(`accepts each version on top of the one before (seed ${SEED})`, async () => {
      const step = fc.record({
        operator: fc.constantFrom(0, 1),
        both: fc.boolean(),
        repeat: fc.boolean(),
        loseAnswers: fc.integer({min: 0, max: 5}),
        down: fc.integer({min: 0, max: 9}).map(value => value === 0),
      });
      await fc.assert(
        fc.asyncProperty(
          fc.array(step, {minLength: 1, maxLength: 12}),
          async steps =>
            withService((standin, service) => runRace(standin, service, steps)),
        ),
        {seed: SEED, numRuns: RUNS},
      );
    });
  });
});

function accepted(version: number): ApplyOutcome {
  return {kind: 'accepted', version: version as never};
}

interface RaceStep {
  readonly operator: number;
  readonly both: boolean;
  readonly repeat: boolean;
  readonly loseAnswers: number;
  readonly down: boolean;
}

interface ReportedApply {
  readonly text: string;
  readonly outcome: ApplyOutcome;
}

async function runRace(
  standin: KeyValueStandin,
  service: HttpKeyValueService,
  steps: readonly RaceStep[],
): Promise<void> {
  const reported: ReportedApply[] = [];
  const lastTexts = [textOf(0, 'a'), textOf(0, 'b')];
  const known = [0, 0];
  const apply = async (operator: number, repeat: boolean, name: string) => {
    if (!repeat) lastTexts[operator] = textOf(known[operator], name);
    const text = lastTexts[operator];
    const outcome = await applyConfig(service, text, name, OPTIONS);
    reported.push({text, outcome});
    if (outcome.kind === 'conflict') known[operator] = outcome.currentVersion;
    if ('version' in outcome) known[operator] = outcome.version;
  };
  for (const [index, step] of steps.entries()) {
    standin.faults.loseAnswers = step.loseAnswers;
    standin.faults.down = step.down;
    const {operator, repeat} = step;
    const one = apply(operator, repeat, `${index}-${operator}`);
    const other = 1 - operator;
    const two = step.both
      ? apply(other, false, `${index}-${other}`)
      : undefined;
    await Promise.all([one, two]);
  }
  standin.faults.loseAnswers = 0;
  standin.faults.down = false;
  for (const operator of [0, 1]) await apply(operator, true, `end-${operator}`);
  checkVersions(await readRecord(service), reported);
  // The stand-in counts writes: an equal count shows that no version was
  // overwritten.
  const entry = await service.get(CONFIG_KEY);
  const version = (await readRecord(service))?.version ?? 0;
  expect(entry?.revision ?? 0).toEqual(version);
}

function checkVersions(
  record: ConfigRecord | undefined,
  reported: readonly ReportedApply[],
) {
  const recent = [...(record?.recent ?? [])].reverse();
  const versions = recent.map(one => Number(one.version));
  expect(versions).toEqual(versions.map((_, index) => index + 1));
  expect(new Set(recent.map(one => one.applyId)).size).toEqual(recent.length);
  for (const {text, outcome} of reported) {
    const base = Number(/revision = (\d+)/.exec(text)?.[1]);
    const applyId = createApplyId(base, text);
    const entry = recent.find(one => one.applyId === applyId);
    if (entry) expect(Number(entry.version)).toEqual(base + 1);
    if ('version' in outcome) expect(entry?.version).toEqual(outcome.version);
    if (outcome.kind === 'conflict') expect(entry).toEqual(undefined);
  }
  // The last two applies had no faults, so their outcomes are known.
  const undecided = reported.slice(-2).map(one => one.outcome.kind);
  expect(undecided).not.toInclude('not_known');
  expect(undecided).not.toInclude('not_reachable');
}
