import {describe, it} from 'node:test';
import {
  ADMISSIBLE_CAPACITY_FRACTION,
  ChainLoads,
  findChains,
  type ServerChain,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, SERVICE, laidOutFleet} from './fleet_fixture.js';

describe('ChainLoads', () => {
  const [chain, other] = findChains(MODEL, laidOutFleet());
  const first = chain.path[0].server.address;
  /** The chain as it is derived when its first server is lost. */
  const successor: ServerChain = {...chain, path: chain.path.slice(1)};

  function admissible({capacityTokens}: ServerChain): number {
    return capacityTokens * ADMISSIBLE_CAPACITY_FRACTION;
  }

  // Guards against filling servers that still run the requests of another
  // chain, which then refuse or preempt them (incident 9).
  describe('when the servers of a chain become part of another one', () => {
    it('counts the tokens of running requests for both', () => {
      const loads = new ChainLoads();
      loads.recordChains(SERVICE, [chain, other], 0);
      loads.reserve(first, 50_000, 0);
      loads.recordChains(SERVICE, [successor, other], 100);
      expect(loads.freeTokens(successor, 100)).toEqual(
        admissible(successor) - 50_000,
      );
      expect(loads.freeTokens(other, 100)).toEqual(admissible(other));
    });

    it('counts the tokens of former paths with the same first server', () => {
      const loads = new ChainLoads();
      const borrowed: ServerChain = {
        ...other,
        path: [...other.path.slice(0, -1), chain.path[2]],
      };
      loads.recordChains(SERVICE, [chain, other], 0);
      loads.reserve(first, 50_000, 0);
      const shortened = {...chain, path: chain.path.slice(0, 2)};
      loads.recordChains(SERVICE, [shortened, borrowed], 100);
      expect(loads.usedTokens(borrowed.path, 100)).toEqual(50_000);
    });

    it('counts for each server only what passes it', () => {
      const loads = new ChainLoads();
      loads.recordChains(SERVICE, [chain, other], 0);
      loads.reserve(first, 40_000, 0);
      loads.reserve(other.path[0].server.address, 30_000, 0);
      const mixed = {...chain, path: [chain.path[1], other.path[1]]};
      loads.recordChains(SERVICE, [mixed], 100);
      expect(loads.usedTokens(mixed.path, 100)).toEqual(40_000);
    });

    it('counts the tokens that peers use on the former chain', () => {
      const loads = new ChainLoads();
      loads.recordChains(SERVICE, [chain], 0);
      loads.setPeerUsage('peer', {[first]: 30_000}, 0);
      loads.recordChains(SERVICE, [successor], 100);
      expect(loads.usedTokens(successor.path, 100)).toEqual(30_000);
    });

    // Guards against filling a server whose part of a chain has become smaller
    // while requests still occupy the former part of it (incident 10).
    describe('and a server runs fewer layers of it than before', () => {
      const [head, middle, last] = chain.path;
      const {firstLayer, endLayer} = middle;
      const halved: ServerChain = {
        ...chain,
        path: [
          {...head, endLayer: (firstLayer + endLayer) / 2},
          {...middle, firstLayer: (firstLayer + endLayer) / 2},
          last,
        ],
      };

      it('counts running requests by the layers that they occupy', () => {
        const loads = new ChainLoads();
        loads.recordChains(SERVICE, [chain], 0);
        loads.reserve(first, 20_000, 0);
        loads.setPeerUsage('peer', {[first]: 10_000}, 0);
        loads.recordChains(SERVICE, [halved], 100);
        expect(loads.usedTokens(halved.path, 100)).toEqual(60_000);
      });

      it('counts requests that began afterwards once', () => {
        const loads = new ChainLoads();
        loads.recordChains(SERVICE, [chain], 0);
        loads.reserve(first, 20_000, 0);
        loads.recordChains(SERVICE, [halved], 100);
        loads.reserve(first, 5000, 100);
        expect(loads.usedTokens(halved.path, 100)).toEqual(45_000);
        loads.release(first, 20_000);
        expect(loads.usedTokens(halved.path, 5100)).toEqual(5000);
      });

      it('counts each replaced path for the requests that it had', () => {
        const loads = new ChainLoads();
        loads.recordChains(SERVICE, [chain], 0);
        loads.reserve(first, 20_000, 0);
        loads.recordChains(SERVICE, [halved], 100);
        loads.reserve(first, 5000, 100);
        loads.recordChains(SERVICE, [{...halved}], 100);
        expect(loads.usedTokens(halved.path, 100)).toEqual(45_000);
      });
    });

    it('forgets the former chain once its requests have ended', () => {
      const loads = new ChainLoads();
      loads.recordChains(SERVICE, [chain], 0);
      loads.reserve(first, 50_000, 0);
      loads.recordChains(SERVICE, [successor], 100);
      loads.release(first, 50_000);
      loads.recordChains(SERVICE, [successor], 200);
      loads.reserve(first, 1000, 300);
      expect(loads.usedTokens(successor.path, 300)).toEqual(0);
    });
  });
});
