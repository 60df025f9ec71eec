import {describe, it} from 'node:test';
import {timeToCompleteMs, type ExpectedRequest} from '@azurecrank/forwarding';
import {expect} from 'earl';

const CALL: ExpectedRequest = {
  route: {kind: 'idempotent', isResumable: false, latencyTargetMs: 500},
  timeLimitMs: 10_000,
  streamDurationMs: undefined,
};

const STREAM: ExpectedRequest = {
  ...CALL,
  route: {...CALL.route, kind: 'stream'},
  streamDurationMs: 2000,
};

// Guards against calls that are taken although they may not be completed.
describe('timeToCompleteMs', () => {
  it('keeps more time for what may not be repeated', () => {
    const once = {...CALL.route, kind: 'non_idempotent' as const};
    expect(timeToCompleteMs(CALL)).toEqual(500);
    expect(timeToCompleteMs({...CALL, route: once})).toEqual(1000);
    const resumable = {...STREAM.route, isResumable: true};
    expect(timeToCompleteMs({...STREAM, route: resumable})).toEqual(2000);
    expect(timeToCompleteMs(STREAM)).toEqual(3000);
  });

  it('is at most the time limit of the request', () => {
    expect(timeToCompleteMs({...CALL, timeLimitMs: 100})).toEqual(100);
    const unserved = {...STREAM, streamDurationMs: Infinity};
    expect(timeToCompleteMs(unserved)).toEqual(10_000);
  });
});
