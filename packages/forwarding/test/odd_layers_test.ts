/** Servers that state to hold layers that the model does not have. */
import {describe, it} from 'node:test';
import type {ServerId} from '@azurecrank/core';
import {
  findChains,
  findPath,
  planLayout,
  type LayerRange,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {MODEL, emptyFleet, laidOutFleet} from './fleet_fixture.js';

const {MAX_SAFE_INTEGER} = Number;

const RANGES: readonly LayerRange[] = [
  {firstLayer: 0, endLayer: MODEL.layers + 1},
  {firstLayer: 40, endLayer: 1_000_000},
  {firstLayer: 0, endLayer: MAX_SAFE_INTEGER},
  {firstLayer: MAX_SAFE_INTEGER - 4, endLayer: MAX_SAFE_INTEGER},
];

// Guards against loops over all stated layers, which stop the process for hours
// or end it for lack of memory.
for (const layers of RANGES) {
  describe(`layers ${layers.firstLayer} to ${layers.endLayer}`, () => {
    const withOddServer = (fleet: ReturnType<typeof laidOutFleet>) => [
      ...fleet,
      {...fleet[0], server: 'odd' as ServerId, layers},
    ];

    it('are part of no path', () => {
      const fleet = laidOutFleet();
      expect(findPath({model: MODEL, servers: withOddServer(fleet)})).toEqual(
        findPath({model: MODEL, servers: fleet}),
      );
      expect(findChains(MODEL, withOddServer(fleet))).toEqual(
        findChains(MODEL, fleet),
      );
    });

    it('change no layout', () => {
      const incomplete = laidOutFleet().slice(1);
      for (const fleet of [laidOutFleet(), incomplete, emptyFleet()]) {
        expect(planLayout(MODEL, withOddServer(fleet))).toEqual(
          planLayout(MODEL, fleet),
        );
      }
    });
  });
}
