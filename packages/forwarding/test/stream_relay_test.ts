import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RelayHarness, settle} from './relay_harness.js';

describe('StreamRelay', () => {
  describe('a part of the path is lost', () => {
    it('moves the running request around it', async () => {
      const harness = new RelayHarness();
      harness.begin();
      harness.events(1, 2);
      const lost = harness.pathAddresses()[3];
      harness.fleet.suspect(lost);
      harness.relay.tick((harness.nowMs += 50));
      harness.control.answerRepath({kind: 'accepted'});
      await settle();
      const [path] = harness.control.repaths;
      expect(path.map(({server}) => server.address)).not.toInclude(lost);
      expect(harness.upstream.sent.length).toEqual(1);
    });

    it('survives the loss of its server while the order is under way', async () => {
      const harness = new RelayHarness();
      const lost = harness.pathAddresses()[3];
      harness.fleet.suspect(lost);
      harness.relay.tick((harness.nowMs += 50));
      harness.fillChains();
      harness.sent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
      harness.control.answerRepath({kind: 'unknown', cause: 'timeout'});
      await harness.pass(300);
      expect(harness.upstream.sent.length).toEqual(2);
      harness.begin();
      harness.events(1);
      expect(harness.res.body).toEqual('id: 1\ndata: t1\n\n');
    });
  });

  describe('the first server is lost', () => {
    it('continues after the last whole event on another chain', () => {
      const harness = new RelayHarness();
      harness.begin();
      harness.events(1, 2);
      const {sent} = harness;
      sent.handlers.onData(Buffer.from('id: 3\nda'));
      sent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
      expect(harness.upstream.sent.length).toEqual(2);
      harness.begin();
      harness.events(3, 4);
      harness.sent.handlers.onEnd();
      const ids = [...harness.res.body.matchAll(/id: (\d+)/g)].map(m => m[1]);
      expect(ids).toEqual(['1', '2', '3', '4']);
      expect(harness.res.writableFinished).toEqual(true);
    });

    it('leaves out events that the next server repeats', () => {
      const harness = new RelayHarness();
      harness.begin();
      harness.events(1, 2);
      harness.sent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
      harness.begin();
      harness.events(2, 3);
      expect(harness.res.body.match(/id: 2/g)?.length).toEqual(1);
    });

    it('runs on no more live servers than its route allows', async () => {
      const harness = new RelayHarness({maxAttempts: 2});
      for (const id of [1, 2, 3]) {
        harness.begin();
        harness.events(id);
        const failure = {cause: 'stalled', mayHaveRun: true};
        harness.sent.handlers.onFailure(failure);
        await harness.pass(100);
      }
      const firsts = harness.upstream.sent.map(({request}) => request.address);
      expect(firsts.length).toBeGreaterThan(2);
      expect(new Set(firsts).size).toEqual(2);
    });

    it('asks again before it suspects all servers of a path', async () => {
      const harness = new RelayHarness();
      const [{path}] = harness.admission.currentChains();
      const addresses = path.map(({server}) => server.address);
      const suspected = () =>
        addresses.filter(address => harness.fleet.isSuspected(address));
      harness.control.silent = new Set([addresses[1]]);
      harness.doctor.probePath(path);
      await settle();
      expect(suspected()).toEqual([addresses[1]]);
      harness.fleet.clearSuspicion(addresses[1]);
      harness.nowMs += 1000;
      harness.control.silentOnce = new Set(addresses);
      harness.control.silent.clear();
      harness.doctor.probePath(path);
      await settle();
      expect(suspected()).toEqual([]);
    });

    it('does not let a lost answer outweigh events (lossy links)', async () => {
      const harness = new RelayHarness();
      harness.begin();
      harness.events(1);
      const [chain] = harness.admission.currentChains();
      const {address} = chain.path[0].server;
      harness.progressAtMs = 1200;
      harness.doctor.suspect(address, 'no answer in time', 1100);
      expect(harness.fleet.isSuspected(address)).toEqual(false);
      harness.doctor.suspect(address, 'refuses connections', 1300);
      expect(harness.fleet.isSuspected(address)).toEqual(true);
    });

    it('goes on as long as the caller waits (patient route)', async () => {
      const harness = new RelayHarness({latencyTargetMs: 1000});
      harness.begin();
      harness.events(1);
      harness.occupyChains();
      harness.sent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
      await harness.pass(3500);
      expect(harness.res.destroyed).toEqual(false);
      harness.freeChains();
      await harness.pass(100);
      expect(harness.upstream.sent.length).toEqual(2);
    });

    it('closes the channel of a stream that may not be resumed', () => {
      const harness = new RelayHarness({isResumable: false});
      harness.begin();
      harness.events(1);
      harness.sent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
      expect(harness.res.destroyed).toEqual(true);
      expect(harness.res.writableFinished).toEqual(false);
    });
  });

  describe('a server refuses', () => {
    it('waits for room again instead of refusing the caller', async () => {
      const harness = new RelayHarness();
      harness.sent.handlers.onHead(503, ['not-run']);
      harness.sent.handlers.onEnd();
      await harness.pass(100);
      expect(harness.res.headersSent).toEqual(false);
      expect(harness.upstream.sent.length).toEqual(2);
    });
  });

  describe('servers refuse a begun stream again and again', () => {
    it('waits for room and continues (little room after a loss)', async () => {
      const harness = new RelayHarness();
      harness.begin();
      harness.events(1);
      harness.sent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
      for (let refusal = 0; refusal < 5; refusal++) {
        harness.sent.handlers.onHead(503, ['not-run']);
        harness.sent.handlers.onEnd();
        await harness.pass(250);
      }
      expect(harness.res.destroyed).toEqual(false);
      harness.begin();
      harness.events(2);
      expect(harness.res.body).toEqual(expect.includes('id: 2'));
    });
  });

  describe('the caller leaves', () => {
    it('stops the work of the server and frees its memory', () => {
      const harness = new RelayHarness();
      harness.begin();
      harness.res.destroy();
      expect(harness.sent.isAborted).toEqual(true);
      expect(harness.loads.ownTokens()).toEqual({});
    });
  });

  describe('the deadline passes', () => {
    it('answers 504 at the time-out of the route', async () => {
      const harness = new RelayHarness();
      await harness.pass(20_000);
      expect(harness.res.statusCode).toEqual(504);
    });
  });
});
