import {describe, it} from 'node:test';
import {toId, type ServerId, type ServiceId} from '@azurecrank/core';
import {
  CrashWatch,
  RequestQuarantine,
  requestKey,
  type BackendServer,
  type IncarnationState,
  type RequestDigest,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {flushPromises} from './relay_harness.js';

const KEY = requestKey('digest-of-a-request-' as RequestDigest);
const KEYS = [KEY];

function serverOf(id: string): BackendServer {
  return {
    server: toId<ServerId>(id),
    service: toId<ServiceId>('desk'),
    address: `10.0.0.1:${id.length}`,
    availabilityZone: 'a',
    state: 'ready',
    startedAtMs: 1,
    accelerator: '',
    layers: undefined,
  };
}

const SERVER = serverOf('d1');

class Harness {
  nowMs = 1000;
  hasEnded = false;
  state: IncarnationState = 'registered';
  readonly quarantine = new RequestQuarantine(() => {});
  readonly watch = new CrashWatch({
    quarantine: this.quarantine,
    hasEnded: async () => this.hasEnded,
    stateOf: () => this.state,
    nowMs: () => this.nowMs,
  });

  get isSuspect(): boolean {
    return this.quarantine.isSuspect(KEYS);
  }

  lose(): Promise<boolean> {
    const brokenOffAtMs = this.nowMs;
    return this.watch.recordLoss({server: SERVER, keys: KEYS, brokenOffAtMs});
  }

  abandon(server = SERVER): void {
    this.watch.watch({server, keys: KEYS, brokenOffAtMs: undefined});
  }
}

describe('CrashWatch', () => {
  it('takes the loss of a run for a crash if its server has ended', async () => {
    const harness = new Harness();
    harness.hasEnded = true;
    expect(await harness.lose()).toEqual(true);
    expect(harness.isSuspect).toEqual(true);
  });

  // Guards against servers that start again before they are asked whether they
  // have ended (incident 18).
  it('learns of the end from the next incarnation', async () => {
    const harness = new Harness();
    expect(await harness.lose()).toEqual(false);
    expect(harness.isSuspect).toEqual(false);
    harness.state = 'replaced';
    harness.watch.checkRegistrations();
    expect(harness.isSuspect).toEqual(true);
  });

  it('asks a server whose registration is gone', async () => {
    const harness = new Harness();
    harness.abandon();
    harness.state = 'missing';
    harness.watch.checkRegistrations();
    await flushPromises();
    expect(harness.isSuspect).toEqual(false);
    harness.hasEnded = true;
    harness.watch.checkRegistrations();
    await flushPromises();
    expect(harness.isSuspect).toEqual(true);
  });

  // Guards against requests that end servers after they were given up
  // (incident 18).
  it('takes the end of a server for that of the runs which were given up', () => {
    const harness = new Harness();
    harness.abandon();
    harness.nowMs += 3000;
    harness.watch.recordEnd(SERVER);
    expect(harness.isSuspect).toEqual(true);
  });

  it('forgets a run after a while', () => {
    const harness = new Harness();
    harness.abandon();
    harness.nowMs += 7000;
    harness.watch.recordEnd(SERVER);
    expect(harness.isSuspect).toEqual(false);
  });

  it('remembers a bounded number of runs', () => {
    const harness = new Harness();
    for (let i = 0; i < 300; i++)
      for (let run = 0; run < 80; run++) harness.abandon(serverOf(`s${i}`));
    expect(harness.watch.size).toEqual(256 * 64);
    harness.nowMs += 7000;
    harness.abandon();
    expect(harness.watch.size).toEqual(1);
  });
});
