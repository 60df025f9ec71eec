import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RelayHarness} from './relay_harness.js';

/** Starts a stream that has had an event, and loses its server. */
function loseServer(
  harness: RelayHarness,
  mayContinue: (harness: RelayHarness) => void = () => {},
): void {
  harness.receiveHead();
  harness.receiveEvents(1);
  mayContinue(harness);
  harness.lastSent.handlers.onFailure({cause: 'reset', mayHaveRun: true});
}

function useAllRetries(harness: RelayHarness): void {
  harness.useAllRetries();
}

function useAllTokens(harness: RelayHarness): void {
  harness.useAllTokens();
}

function removeAllServers({fleet}: RelayHarness): void {
  for (const {server} of [...fleet.all()]) fleet.remove(server);
}

/** Fills the chain that the stream is on, and no other. */
function fillOwnChain(harness: RelayHarness): void {
  const own = harness.lastSent.request.address;
  const chain = harness.admission
    .currentChains()
    .find(({path}) => path[0].server.address === own);
  const used = {[own]: chain?.capacityTokens ?? 0};
  harness.loads.setPeerUsage('peer', used, harness.nowMs);
}

// Guards against cut streams of which the log does not say which limit or
// which shortage ended them (incident LOST).
describe('the log of a stream', () => {
  describe('that waits for a chain', () => {
    const shortages = [
      ['retry_budget', useAllRetries],
      ['free_chain', useAllTokens],
      ['no_chain', removeAllServers],
      ['allowed_servers', fillOwnChain],
    ] as const;
    for (const [waitsFor, take] of shortages) {
      it(`names what is missing once (${waitsFor})`, async () => {
        const harness = new RelayHarness({maxAttempts: 1});
        loseServer(harness, take);
        await harness.advance(500);
        const lines = harness.linesOf('stream waits for a chain');
        expect(lines.map(line => line.waitsFor)).toEqual([waitsFor]);
        expect(lines[0].remainingMs).toEqual(20_000);
      });
    }

    it('says how long it waited when it continues', async () => {
      const harness = new RelayHarness();
      loseServer(harness, useAllTokens);
      await harness.advance(500);
      harness.freeAllTokens();
      await harness.advance(50);
      const [line] = harness.linesOf('stream resumed');
      expect([line.waitedMs, line.silentMs]).toEqual([550, 550]);
    });

    it('says what it waited for when the caller leaves', async () => {
      const harness = new RelayHarness();
      loseServer(harness, useAllTokens);
      await harness.advance(500);
      harness.res.destroy();
      const [line] = harness.linesOf('caller left');
      expect([line.waitsFor, line.waitedMs]).toEqual(['free_chain', 500]);
    });

    it('has no such line if it continues at once', () => {
      const harness = new RelayHarness();
      loseServer(harness);
      expect(harness.upstream.sent.length).toEqual(2);
      expect(harness.linesOf('stream waits for a chain')).toEqual([]);
    });
  });

  describe('that is cut', () => {
    function expectCut(harness: RelayHarness, endedBy: string): void {
      expect(harness.res.destroyed).toEqual(true);
      const lines = harness.linesOf('stream cut');
      expect(lines.map(line => line.endedBy)).toEqual([endedBy]);
      const metrics = harness.metrics.render();
      expect(metrics).toInclude(
        `azurecrank_streams_cut_total{reason="${endedBy}"} 1`,
      );
    }

    it('names a route that does not allow to resume', () => {
      const harness = new RelayHarness({isResumable: false});
      loseServer(harness);
      expectCut(harness, 'not_resumable');
    });

    it('names the attempts', async () => {
      const harness = new RelayHarness({maxAttempts: 6});
      harness.receiveHead();
      harness.receiveEvents(1);
      for (let attempt = 1; attempt <= 6; attempt++) {
        const failure = {cause: 'reset', mayHaveRun: true};
        harness.lastSent.handlers.onFailure(failure);
        await harness.advance(800);
      }
      expectCut(harness, 'attempts');
    });

    it('names the time limit', async () => {
      const harness = new RelayHarness();
      harness.receiveHead();
      harness.receiveEvents(1);
      await harness.advance(20_000);
      expectCut(harness, 'deadline');
    });
  });
});
