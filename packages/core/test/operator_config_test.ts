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

/** Replaces one line of the valid text and returns the first problem. */
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
const D = 'services.chat.deadline_ms';
const CHAT = '[services.chat]';
const RESERVED = 'ranks.ordinary.reserved_percent';
const ALPHA = 'workspaces.alpha.api_key_sha256';

function bad(
  name: string,
  [from, to]: [string, string],
  line: number,
  key: string,
  hint: string,
): BadInput {
  return {name, from, to, line, key, hint};
}

// One case per line: name, replaced text, line, key, part of the hint.
// prettier-ignore
const BAD_INPUTS: readonly BadInput[] = [
  bad('syntax', [DEADLINE, 'deadline_ms = 30s'], 10, D, 'column'),
  bad('unclosed text', ['"urgent"', '"urgent'], 9, 'services.chat.rank', 'TOML'),
  bad('unknown key', ['rank =', 'rnk ='], 9, 'services.chat.rnk', '"rank"'),
  bad('unknown section', ['[ranks.', '[rank.'], 18, 'rank', '"ranks"'),
  bad('duplicate key', [DEADLINE, `${DEADLINE}\n${DEADLINE}`], 11, D, 'line 10'),
  bad('duplicate table', ['[services.orders]', CHAT], 11, 'services.chat', '6'),
  bad('missing revision', ['revision = 3', ''], 1, 'revision', 'whole number'),
  bad('missing layers', ['layers = 4', ''], 2, 'models.large.layers', 'least 1'),
  bad('zero layers', ['= 4', '= 0'], 4, 'models.large.layers', 'at least 1'),
  bad('seconds', [DEADLINE, 'deadline_s = 30'], 10, 'services.chat.deadline_s', 'deadline_ms = 30000'),
  bad('no unit', [DEADLINE, 'deadline = "30s"'], 10, 'services.chat.deadline', 'deadline_ms = 30000'),
  bad('unit in text', [DEADLINE, 'deadline_ms = "30s"'], 10, D, 'deadline_ms = 30000'),
  bad('fraction of ms', [DEADLINE, 'deadline_ms = 0.5'], 10, D, '0.5 s is 500'),
  bad('gigabytes', ['= 1000', '= "1.5GB"'], 5, 'models.large.bytes_per_layer', '1500000000'),
  bad('other unit of bytes', ['bytes_per_layer = 1000', 'gb_per_layer = 2'], 5, 'models.large.gb_per_layer', 'bytes_per_layer = 2000000000'),
  bad('fraction of percent', ['= 6', '= 0.06'], 19, RESERVED, 'fraction is 6'),
  bad('shares', ['= 6', '= 49'], 19, RESERVED, 'at most 50'),
  bad('urgent share', ['[ranks.ordinary]\nreserved_percent = 6', '[ranks.urgent]\nreserved_percent = 60'], 19, 'ranks.urgent.reserved_percent', '92'),
  bad('unknown rank', ['[ranks.ordinary]', '[ranks.ordinry]'], 18, 'ranks.ordinry', '"ordinary"'),
  bad('rank of service', ['"urgent"', '"asap"'], 9, 'services.chat.rank', '"overnight"'),
  bad('unknown model', ['"large"', '"lrge"'], 8, 'services.chat.model', '"large"'),
  bad('missing model', ['model = "large"', ''], 6, 'services.chat.model', 'large'),
  bad('model of plain service', ['kind = "model"', 'kind = "plain"'], 8, 'services.chat.model', 'remove'),
  bad('unknown dependency', ['["chat"]', '[\n  "large",\n  "chatt",\n]'], 15, 'services.orders.depends_on', '"chat"'),
  bad('circular dependency', [DEADLINE, 'depends_on = ["orders"]'], 10, 'services.chat.depends_on', 'chat, orders'),
  bad('dependency on itself', ['["chat"]', '["orders"]'], 13, 'services.orders.depends_on', 'orders'),
  bad('call without slash', ['"/orders/*"', '"orders"'], 16, 'services.orders.calls.0.path', 'slash'),
  bad('call without choice', ['idempotent = true', ''], 14, 'services.orders.calls.0.idempotent', 'true'),
  bad('text for boolean', ['= true', '= "yes"'], 17, 'services.orders.calls.0.idempotent', 'quotes'),
  bad('late first token', [DEADLINE, 'deadline_ms = 500\nfirst_token_target_ms = 900'], 11, 'services.chat.first_token_target_ms', '500'),
  bad('short digest', [DIGEST, 'abc'], 21, ALPHA, '64 hex'),
  bad('missing digests', [`api_key_sha256 = ["${DIGEST}"]`, ''], 20, ALPHA, '64 hex'),
  bad('digest used twice', ['[workspaces.alpha]', `[workspaces.beta]\napi_key_sha256 = ["${DIGEST}"]\n[workspaces.alpha]`], 23, ALPHA, '"beta" has it in line 21'),
  bad('service of workspace', ['services = ["chat"]', 'services = ["chta"]'], 22, 'workspaces.alpha.services', '"chat"'),
  bad('zero weight', ['[workspaces.alpha]', '[workspaces.alpha]\nweight = 0'], 21, 'workspaces.alpha.weight', 'at least'),
];

describe('parseOperatorConfig', () => {
  describe('bad input', () => {
    // Guards against problems that point to another place than the fault.
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

    it('reports every problem, in the order of lines', () => {
      const text = VALID.replace('= 6', '= 60').replace('= 4', '= -1');
      const parsed = parseOperatorConfig(text, 'f.toml');
      const lines =
        parsed.kind === 'invalid' ? parsed.problems.map(one => one.line) : [];
      expect(lines).toEqual([4, 19]);
    });

    it('is not misled by multi-line text and quoted brackets', () => {
      const tricky = 'version = """\nlayers = 9\n[x]\n"""';
      const problem = problemAfter(
        'version = "1"\nlayers = 4',
        `${tricky}\nlayers = "]"`,
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

    it('gives the urgent rank what the others leave', () => {
      expect(reservedShares(parseValid(VALID))).toEqual([0.92, 0.06, 0.02]);
    });

    it('finds a workspace by its bearer key only', () => {
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
    // Guards against running a call twice that was not declared idempotent.
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
