import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  Metrics,
  RETRIES_COUNTER,
  claimKeyHash,
  claimPageIndex,
  claimPageKey,
  createInstanceId,
  createRequestId,
  preferredServerForPage,
  refuse,
  toId,
  type Call,
  type CallResult,
  type Cancel,
  type Cancelled,
  type ExecutionState,
  type RefusalReason,
  type Refused,
  type ServerId,
  type ServiceServer,
} from '@azurecrank/core';
import {
  CallDispatcher,
  CallRetryBudget,
  CallTransport,
  CallTransportError,
  toServiceHeaders,
  type CallRequest,
} from '../src/index.js';

type Answer = CallResult | Refused;
type Script = (call: Call) => Answer | Promise<Answer>;

const NEVER = () => new Promise<Answer>(() => {});

const SERVERS = ['a', 'b', 'c'].map(name => ({
  server: name as ServerId,
  address: toId<ServiceServer['address']>('127.0.0.1:1'),
  availabilityZone: 'z',
}));

/** Answers each call with the next script. */
class ScriptedTransport extends CallTransport {
  readonly sent: {server: string; call: Call}[] = [];
  cancels = 0;

  constructor(
    private readonly scripts: Script[],
    private readonly ranAfterCancel: ExecutionState | 'silent' = 'unknown',
  ) {
    super();
  }

  override async send(server: ServiceServer, call: Call): Promise<Answer> {
    this.sent.push({server: server.server, call});
    const script = this.scripts.shift();
    if (!script) throw new Error('no script left');
    return script(call);
  }

  override async cancel(
    server: ServiceServer,
    {request, attempt}: Cancel,
  ): Promise<Cancelled> {
    this.cancels++;
    if (this.ranAfterCancel === 'silent') return new Promise(() => {});
    return {type: 'cancelled', request, attempt, ran: this.ranAfterCancel};
  }
}

class FixedBudget extends CallRetryBudget {
  constructor(private remaining = 10) {
    super();
  }

  override acquire(): boolean {
    return this.remaining-- > 0;
  }

  override recordSuccess(): void {}
}

const ok: Script = ({request, attempt}) => ({
  type: 'call_result',
  request,
  attempt,
  status: 200,
  headers: {connection: 'x-hop', 'x-hop': '1', 'x-kept': '1'},
  body: Buffer.alloc(0),
  replayed: true,
});

function refused(reason: RefusalReason, ran: ExecutionState): Script {
  return ({request, attempt}) => {
    const {kind, ...rest} = refuse(reason, 'call', {ran, peer: 'side'});
    expect(kind).toEqual('refusal');
    return {...rest, type: 'refused', request, attempt};
  };
}

function lost(mayHaveBeenSent: boolean): Script {
  return () => {
    throw new CallTransportError('connection reset', mayHaveBeenSent);
  };
}

function request(change: Partial<CallRequest> = {}): CallRequest {
  return {
    request: createRequestId(createInstanceId()),
    workspace: toId('works'),
    service: toId('parts'),
    rank: 'ordinary',
    method: 'POST',
    path: '/orders',
    headers: {},
    body: Buffer.alloc(0),
    idempotencyKey: 'k',
    idempotent: false,
    deadlineMs: 1000,
    ...change,
  };
}

async function dispatch(
  transport: ScriptedTransport,
  change: Partial<CallRequest> = {},
  options: {budget?: number; signal?: AbortSignal} = {},
): Promise<string> {
  const metrics = new Metrics();
  const budget = new FixedBudget(options.budget);
  const dispatcher = new CallDispatcher(transport, budget, metrics, {
    cancelTimeoutMs: 30,
  });
  const {signal} = options;
  const answer = await dispatcher.dispatch(request(change), SERVERS, signal);
  const retries = transport.sent.length - 1;
  const counted = ['server_leaving', 'refused_elsewhere', 'connect_failed']
    .concat('connection_replaced')
    .map(reason => metrics.counterValue(RETRIES_COUNTER, {reason}))
    .reduce((sum, count) => sum + count, 0);
  expect(counted).toEqual(retries);
  if ('status' in answer) return `${answer.status}`;
  return `${answer.reason} ${answer.ran}`;
}

describe('CallDispatcher', () => {
  describe('retries', () => {
    const cases: [string, Script[], Partial<CallRequest>, string, number][] = [
      [
        'retries on other servers at once while servers are leaving',
        [refused('leaving', 'not_run'), refused('leaving', 'not_run'), ok],
        {},
        '200',
        3,
      ],
      [
        'tries one other server when one is full',
        [refused('queue_full', 'not_run'), refused('queue_full', 'not_run')],
        {},
        'queue_full not_run',
        2,
      ],
      ['retries a call that was never sent', [lost(false), ok], {}, '200', 2],
      [
        'never retries a call that may have run',
        [refused('outcome_unknown', 'unknown')],
        {},
        'outcome_unknown unknown',
        1,
      ],
      [
        'never retries a non-idempotent call that was lost after it was sent',
        [lost(true)],
        {},
        'outcome_unknown unknown',
        1,
      ],
      [
        'retries an idempotent call that was lost',
        [lost(true), ok],
        {idempotent: true},
        '200',
        2,
      ],
      [
        'does not report not_run when an earlier attempt may have run',
        [lost(true), refused('claim_store_unavailable', 'not_run')],
        {idempotent: true},
        'claim_store_unavailable unknown',
        2,
      ],
      [
        'returns a refusal that other servers would repeat',
        [refused('claim_store_unavailable', 'not_run')],
        {},
        'claim_store_unavailable not_run',
        1,
      ],
    ];
    for (const [name, scripts, change, expected, sent] of cases) {
      it(name, async () => {
        const transport = new ScriptedTransport(scripts);
        expect(await dispatch(transport, change)).toEqual(expected);
        const servers = transport.sent.map(({server}) => server);
        expect([servers.length, new Set(servers).size]).toEqual([sent, sent]);
      });
    }

    it('stops when the budget is used up', async () => {
      const transport = new ScriptedTransport([lost(false)]);
      const answer = await dispatch(transport, {}, {budget: 0});
      expect(answer).toEqual('retry_budget_exhausted not_run');
    });

    it('retries when the side process confirms that a lost call will not run', async () => {
      const transport = new ScriptedTransport([lost(true), ok], 'not_run');
      expect(await dispatch(transport)).toEqual('200');
    });
  });

  describe('deadline and caller', () => {
    for (const ran of ['not_run', 'ran', 'unknown', 'silent'] as const) {
      it(`reports the cancel’s answer ${ran} at the deadline`, async () => {
        const transport = new ScriptedTransport([NEVER], ran);
        const answer = await dispatch(transport, {deadlineMs: 30});
        const expected = ran === 'silent' ? 'unknown' : ran;
        expect(answer).toEqual(`deadline_exceeded ${expected}`);
        expect(transport.cancels).toEqual(1);
      });
    }

    it('cancels when the caller disconnects', async () => {
      const transport = new ScriptedTransport([NEVER], 'not_run');
      const signal = AbortSignal.timeout(20);
      const answer = await dispatch(transport, {}, {signal});
      expect(answer).toEqual('caller_left not_run');
    });

    it('returns an answer that arrives before the answer to the cancel', async () => {
      const late: Script = async call => {
        await new Promise(resolve => setTimeout(resolve, 40));
        return ok(call);
      };
      const transport = new ScriptedTransport([late], 'silent');
      expect(await dispatch(transport, {deadlineMs: 30})).toEqual('200');
    });
  });

  describe('choice of the server', () => {
    it('sends claimed calls to the server of their page', async () => {
      for (let index = 0; index < 10; index++) {
        const idempotencyKey = `k${index}`;
        const transport = new ScriptedTransport([ok]);
        await dispatch(transport, {idempotencyKey});
        const {
          workspace,
          service,
          idempotencyKey: key,
        } = transport.sent[0].call;
        const page = claimPageIndex(claimKeyHash(workspace, service, key), 64);
        const preferred = preferredServerForPage(
          claimPageKey(service, page),
          SERVERS.map(({server}) => server),
        );
        expect(transport.sent[0].server).toEqual(preferred as string);
      }
    });

    it('sends other calls to the less loaded of two servers', async () => {
      const transport = new ScriptedTransport(Array(6).fill(NEVER), 'not_run');
      const budget = new FixedBudget();
      const dispatcher = new CallDispatcher(transport, budget, new Metrics());
      const signal = AbortSignal.timeout(50);
      const calls = Array.from({length: 6}, () =>
        dispatcher.dispatch(
          request({idempotencyKey: ''}),
          SERVERS.slice(0, 2),
          signal,
        ),
      );
      await Promise.all(calls);
      const toFirst = transport.sent.filter(({server}) => server === 'a');
      expect(toFirst.length).toEqual(3);
    });
  });

  it('drops hop-by-hop headers in both directions and marks replays', async () => {
    const headers = {
      Connection: 'X-Hop, close',
      'x-hop': '1',
      Host: 'h',
      Authorization: 'Bearer k',
      'X-Kept': '1',
    };
    expect(toServiceHeaders(headers)).toEqual({'x-kept': '1'});
    const transport = new ScriptedTransport([ok]);
    const budget = new FixedBudget();
    const dispatcher = new CallDispatcher(transport, budget, new Metrics());
    const answer = await dispatcher.dispatch(request(), SERVERS);
    expect('headers' in answer && answer.headers).toEqual({
      'x-kept': '1',
      'idempotency-replayed': 'true',
    });
  });
});
