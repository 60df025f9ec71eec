import {describe, it} from 'node:test';
import {
  EventIntervalMonitor,
  expectedIntervalMs,
  findChains,
  findPath,
  hasEventSince,
  findStalledPaths,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, laidOutFleet} from './fleet_fixture.js';

describe('findPath', () => {
  const fleet = laidOutFleet();
  it('uses no server twice', () => {
    for (const {path} of findChains(MODEL, fleet)) {
      const servers = new Set(path.map(({server}) => server.server));
      expect(servers.size).toEqual(path.length);
    }
  });

  it('keeps the first stage and avoids a lost server', () => {
    const chains = findChains(MODEL, fleet);
    const replaced = chains.flatMap(({path: current}) => {
      const [firstStage] = current;
      const zone = firstStage.server.availabilityZone;
      const inZone = fleet.filter(s => s.availabilityZone === zone);
      return current.slice(1).flatMap(({server: lost}) => {
        const servers = inZone.filter(({server}) => server !== lost.server);
        const path = findPath({
          model: MODEL,
          servers,
          current,
          firstStage,
        });
        return path ? [{firstStage, lost, path}] : [];
      });
    });
    // Only zones with spare memory hold copies of layers.
    expect(replaced.length).toBeGreaterThan(0);
    for (const {firstStage, lost, path} of replaced) {
      expect(path[0]).toEqual(firstStage);
      const used = path.map(({server}) => server.server);
      expect(used).not.toInclude(lost.server);
    }
  });

  it('finds no path if no server holds a layer', () => {
    const servers = fleet.filter(({layers}) => (layers?.firstLayer ?? 0) > 0);
    expect(findPath({model: MODEL, servers})).toEqual(undefined);
  });
});

describe('paths around slow servers', () => {
  const fleet = laidOutFleet();
  const [river] = findChains(MODEL, fleet).filter(({path}) =>
    path.every(({server}) => server.availabilityZone === 'river'),
  );

  it('avoid a slow server whose layers other servers hold', () => {
    const replaceable = river.path.find(({server}) => {
      const servers = fleet.filter(s => s !== server);
      return findChains(MODEL, servers).length === 3;
    });
    const slow = replaceable?.server;
    const slowed = fleet.map(s =>
      s === slow ? {...s, slowdownFactor: 12} : s,
    );
    const used = findChains(MODEL, slowed).flatMap(({path}) =>
      path.map(({server}) => server.server),
    );
    expect(slow).not.toEqual(undefined);
    expect(used).not.toInclude(slow?.server as (typeof used)[number]);
  });

  it('are needed when events come much later than expected', () => {
    const speeds = new EventIntervalMonitor();
    const {path} = river;
    const first = path[0].server.address;
    const usualMs = expectedIntervalMs(MODEL, path);
    for (let i = 0; i < 80; i++) speeds.record(first, usualMs);
    expect(speeds.isSlow(MODEL, path)).toEqual(false);
    for (let i = 0; i < 80; i++) speeds.record(first, 3 * usualMs);
    expect(speeds.isSlow(MODEL, path)).toEqual(true);
  });

  // Guards against reports of all servers, again and again, from servers that
  // put more tokens into an event (quiet days of large fleets).
  it('are not needed when all servers put many tokens into an event', () => {
    const speeds = new EventIntervalMonitor();
    const paths = findChains(MODEL, fleet).map(({path}) => path);
    expect(paths.length).toBeGreaterThan(1);
    const isSlow = (slowPath?: (typeof paths)[number]) => {
      for (const path of paths) {
        const intervalMs = expectedIntervalMs(MODEL, path, 5);
        const factor = path === slowPath ? 3 : 1;
        for (let i = 0; i < 80; i++)
          speeds.record(path[0].server.address, factor * intervalMs);
      }
      for (const path of paths) speeds.isSlow(MODEL, path);
      return paths.map(path => speeds.isSlow(MODEL, path));
    };
    expect(isSlow()).toEqual(paths.map(() => false));
    expect(isSlow(paths[1])).toEqual(paths.map((_, i) => i === 1));
  });
});

describe('hasProgress', () => {
  const [chain] = findChains(MODEL, laidOutFleet());
  const last = chain.path[chain.path.length - 1].server.address;

  it('counts events that passed the server since the given time', () => {
    const stream = {path: chain.path, sinceMs: 900, eventAtMs: 900};
    expect(hasEventSince([stream], last, 850)).toEqual(true);
    expect(hasEventSince([stream], last, 950)).toEqual(false);
  });

  it('does not count events from before a move to this path', () => {
    const moved = {path: chain.path, sinceMs: 990, eventAtMs: undefined};
    expect(hasEventSince([moved], last, 900)).toEqual(false);
  });
});

describe('silentPaths', () => {
  const [chain, other] = findChains(MODEL, laidOutFleet());

  it('finds a path with three streams that stalled together', () => {
    const streams = [900, 910, 915].map(sinceMs => ({
      path: chain.path,
      sinceMs,
    }));
    expect(findStalledPaths(streams, 970)).toEqual([]);
    expect(findStalledPaths(streams, 980)).toEqual([chain.path]);
  });

  it('waits longer for a single stream', () => {
    const streams = [{path: chain.path, sinceMs: 900}];
    expect(findStalledPaths(streams, 1000)).toEqual([]);
    expect(findStalledPaths(streams, 1050)).toEqual([chain.path]);
  });

  it('does not find a path on which one stream has recent events', () => {
    const streams = [100, 100, 990].map(sinceMs => ({
      path: chain.path,
      sinceMs,
    }));
    const silent = {path: other.path, sinceMs: 100};
    expect(findStalledPaths([...streams, silent], 1000)).toEqual([other.path]);
  });
});
