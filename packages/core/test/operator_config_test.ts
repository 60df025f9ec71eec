import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  digestOfKey,
  isIdempotentCall,
  mayUseService,
  parseOperatorConfig,
  reservedShares,
  workspaceOfKey,
  type OperatorConfig,
  type ServiceId,
} from '../src/index.js';

const EXAMPLES = join(import.meta.dirname, '../../../../examples');
const DIGEST = digestOfKey('key-a');

const VALID = `revision = 3
[models.large]
version = "1"
layers = 4
bytes_per_layer = 1000
[services.chat]
kind = "model"
model = "large"
rank = "urgent"
deadline_ms = 30000
[services.orders]
kind = "plain"
depends_on = ["chat"]
[[services.orders.calls]]
method = "GET"
path = "/orders/*"
idempotent = true
[ranks.ordinary]
reserved_percent = 6
[workspaces.alpha]
api_key_sha256 = ["${DIGEST}"]
services = ["chat"]
`;

function parseValid(text: string): OperatorConfig {
  const parsed = parseOperatorConfig(text, 'f.toml');
  if (parsed.kind === 'valid') return parsed.config;
  throw new Error(JSON.stringify(parsed.problems));
}

/** Replaces `from` by `to` in the valid text and returns the first problem. */
function problemAfter(from: string, to: string) {
  if (!VALID.includes(from)) throw new Error(`no ${from} in the text`);
  const parsed = parseOperatorConfig(VALID.replace(from, to), 'f.toml');
  if (parsed.kind === 'valid') throw new Error('the text is valid');
  return parsed.problems[0];
}

interface BadInput {
  readonly name: string;
  readonly from: string;
  readonly to: string;
  readonly line: number;
  readonly key: string;
  readonly hint: string;
}

const DEADLINE = 'deadline_ms = 30000';
const DEADLINE_KEY = 'services.chat.deadline_ms';
const CHAT_HEADER = '[services.chat]';
const RESERVED_KEY = 'ranks.ordinary.reserved_percent';
const DIGEST_KEY = 'workspaces.alpha.api_key_sha256';

function badInput(
  name: string,
  [from, to]: [string, string],
  line: number,
  key: string,
  hint: string,
): BadInput {
  return {name, from, to, line, key, hint};
}

// One case per line: name, replacement, and the line, key and part of the hint
// of the expected problem.
// prettier-ignore
const BAD_INPUTS: readonly BadInput[] = [
  badInput('syntax', [DEADLINE, 'deadline_ms = 30s'], 10, DEADLINE_KEY, 'column'),
  badInput('unclosed text', ['"urgent"', '"urgent'], 9, 'services.chat.rank', 'TOML'),
  badInput('unknown key', ['rank =', 'rnk ='], 9, 'services.chat.rnk', '"rank"'),
  badInput('unknown section', ['[ranks.', '[rank.'], 18, 'rank', '"ranks"'),
  badInput('duplicate key', [DEADLINE, `${DEADLINE}\n${DEADLINE}`], 11, DEADLINE_KEY, 'line 10'),
  badInput('duplicate table', ['[services.orders]', CHAT_HEADER], 11, 'services.chat', '6'),
  badInput('missing revision', ['revision = 3', ''], 1, 'revision', 'whole number'),
  badInput('missing layers', ['layers = 4', ''], 2, 'models.large.layers', 'least 1'),
  badInput('zero layers', ['= 4', '= 0'], 4, 'models.large.layers', 'at least 1'),
  badInput('seconds', [DEADLINE, 'deadline_s = 30'], 10, 'services.chat.deadline_s', 'deadline_ms = 30000'),
  badInput('no unit', [DEADLINE, 'deadline = "30s"'], 10, 'services.chat.deadline', 'deadline_ms = 30000'),
  badInput('unit in text', [DEADLINE, 'deadline_ms = "30s"'], 10, DEADLINE_KEY, 'deadline_ms = 30000'),
  // Guards against a missing hint: only the plural of this unit was known.
  badInput('hour in text', [DEADLINE, 'deadline_ms = "1hour"'], 10, DEADLINE_KEY, 'deadline_ms = 3600000'),
  badInput('fraction of ms', [DEADLINE, 'deadline_ms = 0.5'], 10, DEADLINE_KEY, '0.5 s is 500'),
  badInput('gigabytes', ['= 1000', '= "1.5GB"'], 5, 'models.large.bytes_per_layer', '1500000000'),
  badInput('other unit of bytes', ['bytes_per_layer = 1000', 'gb_per_layer = 2'], 5, 'models.large.gb_per_layer', 'bytes_per_layer = 2000000000'),
  badInput('fraction of percent', ['= 6', '= 0.06'], 19, RESERVED_KEY, 'fraction is 6'),
  badInput('shares', ['= 6', '= 49'], 19, RESERVED_KEY, 'at most 50'),
  badInput('urgent share', ['[ranks.ordinary]\nreserved_percent = 6', '[ranks.urgent]\nreserved_percent = 60'], 19, 'ranks.urgent.reserved_percent', '92'),
  badInput('unknown rank', ['[ranks.ordinary]', '[ranks.ordinry]'], 18, 'ranks.ordinry', '"ordinary"'),
  badInput('rank of service', ['"urgent"', '"asap"'], 9, 'services.chat.rank', '"overnight"'),
  badInput('unknown model', ['"large"', '"lrge"'], 8, 'services.chat.model', '"large"'),
  badInput('missing model', ['model = "large"', ''], 6, 'services.chat.model', 'large'),
  badInput('model of plain service', ['kind = "model"', 'kind = "plain"'], 8, 'services.chat.model', 'remove'),
  badInput('unknown dependency', ['["chat"]', '[\n  "large",\n  "chatt",\n]'], 15, 'services.orders.depends_on', '"chat"'),
  badInput('circular dependency', [DEADLINE, 'depends_on = ["orders"]'], 10, 'services.chat.depends_on', 'chat, orders'),
  badInput('dependency on itself', ['["chat"]', '["orders"]'], 13, 'services.orders.depends_on', 'orders'),
  badInput('call without slash', ['"/orders/*"', '"orders"'], 16, 'services.orders.calls.0.path', 'slash'),
  badInput('call without choice', ['idempotent = true', ''], 14, 'services.orders.calls.0.idempotent', 'true'),
  badInput('text for boolean', ['= true', '= "yes"'], 17, 'services.orders.calls.0.idempotent', 'quotes'),
  badInput('late first token', [DEADLINE, 'deadline_ms = 500\nfirst_token_target_ms = 900'], 11, 'services.chat.first_token_target_ms', '500'),
  badInput('short digest', [DIGEST, 'abc'], 21, DIGEST_KEY, '64 hex'),
  badInput('missing digests', [`api_key_sha256 = ["${DIGEST}"]`, ''], 20, DIGEST_KEY, '64 hex'),
  badInput('digest used twice', ['[workspaces.alpha]', `[workspaces.beta]\napi_key_sha256 = ["${DIGEST}"]\n[workspaces.alpha]`], 23, DIGEST_KEY, '"beta" has it in line 21'),
  badInput('service of workspace', ['services = ["chat"]', 'services = ["chta"]'], 22, 'workspaces.alpha.services', '"chat"'),
  badInput('zero weight', ['[workspaces.alpha]', '[workspaces.alpha]\nweight = 0'], 21, 'workspaces.alpha.weight', 'at least'),
];

describe('parseOperatorConfig', () => {
  describe('bad input', () => {
    // Guards against problems that name another line or key than the invalid one.
    for (const {name, from, to, line, key, hint} of BAD_INPUTS) {
      it(`reports line and key: ${name}`, () => {
        const problem = problemAfter(from, to);
        const {file, line: foundLine, key: foundKey} = problem;
        expect({file, line: foundLine, key: foundKey}).toEqual({
          file: 'f.toml',
          line,
          key,
        });
        expect(problem.hint).toInclude(hint);
      });
    }

    it('reports all problems, ordered by line', () => {
      const text = VALID.replace('= 6', '= 60').replace('= 4', '= -1');
      const parsed = parseOperatorConfig(text, 'f.toml');
      const lines =
        parsed.kind === 'invalid' ? parsed.problems.map(one => one.line) : [];
      expect(lines).toEqual([4, 19]);
    });

    it('is not misled by multi-line text and quoted brackets', () => {
      const multiLine = 'version = """\nlayers = 9\n[x]\n"""';
      const problem = problemAfter(
        'version = "1"\nlayers = 4',
        `${multiLine}\nlayers = "]"`,
      );
      expect(problem.line).toEqual(7);
    });
  });

  describe('valid input', () => {
    for (const file of readdirSync(EXAMPLES)) {
      it(`accepts examples/${file}`, () => {
        const text = readFileSync(join(EXAMPLES, file), 'utf8');
        expect(parseValid(text).workspaces.size).toEqual(10);
      });
    }

    it('gives the urgent rank the share that the others leave', () => {
      expect(reservedShares(parseValid(VALID))).toEqual([0.92, 0.06, 0.02]);
    });

    it('finds a workspace by its bearer key, but not by the digest', () => {
      const config = parseValid(VALID);
      const found = workspaceOfKey(config, 'key-a');
      expect(String(found?.workspace)).toEqual('alpha');
      expect(workspaceOfKey(config, DIGEST)).toEqual(undefined);
      if (!found) return;
      expect(mayUseService(found, 'chat' as ServiceId)).toEqual(true);
      expect(mayUseService(found, 'orders' as ServiceId)).toEqual(false);
    });
  });

  describe('idempotency of calls', () => {
    // Guards against repeating a call that was not declared idempotent.
    const cases: readonly (readonly [string, string, boolean])[] = [
      ['GET', '/orders/7', true],
      ['get', '/orders/7?full=1', true],
      ['POST', '/orders/7', false],
      ['GET', '/orders', false],
      ['GET', '/orders/', false],
      ['GET', '/orders/7/cancel', false],
      ['GET', '/orders/..', false],
      ['GET', '/orders/..%2fcancel', false],
    ];
    for (const [method, path, expected] of cases) {
      it(`${method} ${path}: ${expected}`, () => {
        const config = parseValid(VALID);
        const service = 'orders' as ServiceId;
        expect(isIdempotentCall(config, service, method, path)).toEqual(
          expected,
        );
      });
    }

    it('treats an unknown service as not idempotent', () => {
      const service = 'other' as ServiceId;
      const config = parseValid(VALID);
      expect(isIdempotentCall(config, service, 'GET', '/')).toEqual(false);
    });
  });
});
