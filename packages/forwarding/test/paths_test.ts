import {describe, it} from 'node:test';
import {
  PathSpeeds,
  expectedIntervalMs,
  findChains,
  findPath,
  hasProgress,
  silentPaths,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, laidOutFleet} from './fleet_fixture.js';

describe('findPath', () => {
  const fleet = laidOutFleet();
  it('passes no server twice', () => {
    for (const {path} of findChains(MODEL, fleet)) {
      const servers = new Set(path.map(({server}) => server.server));
      expect(servers.size).toEqual(path.length);
    }
  });

  it('keeps the first part and avoids a lost server', () => {
    const chains = findChains(MODEL, fleet);
    const replaced = chains.flatMap(({path: current}) => {
      const [firstPart] = current;
      const zone = firstPart.server.availabilityZone;
      const inZone = fleet.filter(s => s.availabilityZone === zone);
      return current.slice(1).flatMap(({server: lost}) => {
        const servers = inZone.filter(({server}) => server !== lost.server);
        const path = findPath({model: MODEL, servers, current, firstPart});
        return path ? [{firstPart, lost, path}] : [];
      });
    });
    // Only zones with memory to spare hold copies.
    expect(replaced.length).toBeGreaterThan(0);
    for (const {firstPart, lost, path} of replaced) {
      expect(path[0]).toEqual(firstPart);
      const used = path.map(({server}) => server.server);
      expect(used).not.toInclude(lost.server);
    }
  });

  it('finds nothing where a layer is missing', () => {
    const without = fleet.filter(({layers}) => (layers?.firstLayer ?? 0) > 0);
    expect(findPath({model: MODEL, servers: without})).toEqual(undefined);
  });
});

describe('paths around slow servers (servers turn slow)', () => {
  const fleet = laidOutFleet();
  const [river] = findChains(MODEL, fleet).filter(({path}) =>
    path.every(({server}) => server.availabilityZone === 'river'),
  );

  it('avoid one whose layers others hold', () => {
    const copied = river.path.find(({server}) => {
      const servers = fleet.filter(s => s !== server);
      return findChains(MODEL, servers).length === 3;
    });
    const slow = copied?.server;
    const servers = fleet.map(s =>
      s === slow ? {...s, slowdownFactor: 12} : s,
    );
    const used = findChains(MODEL, servers).flatMap(({path}) =>
      path.map(({server}) => server.server),
    );
    expect(slow).not.toEqual(undefined);
    expect(used).not.toInclude(slow?.server as (typeof used)[number]);
  });

  it('are looked for when events come much later than they should', () => {
    const speeds = new PathSpeeds();
    const {path} = river;
    const first = path[0].server.address;
    const usualMs = expectedIntervalMs(MODEL, path);
    for (let i = 0; i < 80; i++) speeds.note(first, usualMs);
    expect(speeds.isSlow(MODEL, path)).toEqual(false);
    for (let i = 0; i < 80; i++) speeds.note(first, 3 * usualMs);
    expect(speeds.isSlow(MODEL, path)).toEqual(true);
  });
});

describe('hasProgress', () => {
  const [chain] = findChains(MODEL, laidOutFleet());
  const last = chain.path[chain.path.length - 1].server.address;

  it('sees events that passed a server since then', () => {
    const stream = {path: chain.path, sinceMs: 900, eventAtMs: 900};
    expect(hasProgress([stream], last, 850)).toEqual(true);
    expect(hasProgress([stream], last, 950)).toEqual(false);
  });

  it('takes no event of an earlier path for one of this', () => {
    const moved = {path: chain.path, sinceMs: 990, eventAtMs: undefined};
    expect(hasProgress([moved], last, 900)).toEqual(false);
  });
});

describe('silentPaths', () => {
  const [chain, other] = findChains(MODEL, laidOutFleet());

  it('sees three streams of a path that fell silent together', () => {
    const streams = [900, 910, 915].map(sinceMs => ({
      path: chain.path,
      sinceMs,
    }));
    expect(silentPaths(streams, 970)).toEqual([]);
    expect(silentPaths(streams, 980)).toEqual([chain.path]);
  });

  it('waits longer for a single stream', () => {
    const streams = [{path: chain.path, sinceMs: 900}];
    expect(silentPaths(streams, 1000)).toEqual([]);
    expect(silentPaths(streams, 1050)).toEqual([chain.path]);
  });

  it('does not take a path as silent of which one stream moves', () => {
    const streams = [100, 100, 990].map(sinceMs => ({
      path: chain.path,
      sinceMs,
    }));
    const silent = {path: other.path, sinceMs: 100};
    expect(silentPaths([...streams, silent], 1000)).toEqual([other.path]);
  });
});
