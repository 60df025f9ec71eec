import {describe, it} from 'node:test';
import {expect} from 'earl';
import {BatchFormer, type Rank, type RequestId} from '../src/index.js';

const LIMITS = {
  maxSteps: 4,
  maxPromptTokens: 1000,
  maxLowerRankPromptTokens: 100,
};

function step(name: string, rank: Rank, count = 1) {
  return {request: name as RequestId, rank, count};
}

describe('BatchFormer', () => {
  it('selects steps by rank while no reserved share is due', () => {
    const urgent = ['a', 'b', 'c', 'd'].map(name => step(name, 'urgent'));
    const run = [step('x', 'overnight'), ...urgent];
    const former = new BatchFormer(LIMITS);
    former.form(run, 0);
    for (let batch = 1; batch < 10; batch++) {
      const picks = former.form(run, batch);
      expect(picks.map(pick => pick.step)).toEqual(urgent);
    }
  });

  it('limits a long overnight prompt in a batch with an urgent step', () => {
    const run = [step('x', 'overnight', 50_000), step('a', 'urgent')];
    const picks = new BatchFormer(LIMITS).form(run, 0);
    expect(picks.map(pick => pick.positionsToRun)).toEqual([1, 100]);
  });

  it('lets a prompt that is alone use the whole prompt token limit', () => {
    const picks = new BatchFormer(LIMITS).form(
      [step('x', 'overnight', 50_000)],
      0,
    );
    expect(picks.map(pick => pick.positionsToRun)).toEqual([1000]);
  });

  it('runs a decode step although the prompt before it does not fit', () => {
    const run = [
      step('a', 'ordinary', 1000),
      step('b', 'ordinary', 10),
      step('c', 'ordinary'),
    ];
    const picks = new BatchFormer(LIMITS).form(run, 0);
    expect(picks.map(pick => pick.step.request as string)).toEqual(['a', 'c']);
  });

  it('gives an overnight prompt its share beside urgent prompts', () => {
    const former = new BatchFormer(LIMITS);
    const positionsRun = {urgent: 0, ordinary: 0, overnight: 0};
    for (let batch = 0; batch < 2000; batch++) {
      const run = [step('a', 'urgent', 5000), step('x', 'overnight', 5000)];
      for (const pick of former.form(run, batch * 40)) {
        positionsRun[pick.step.rank] += pick.positionsToRun;
      }
    }
    const share =
      positionsRun.overnight / (positionsRun.urgent + positionsRun.overnight);
    expect(share).toBeGreaterThanOrEqual(0.018);
    expect(share).toBeLessThanOrEqual(0.022);
  });

  it('gives overnight decode steps their share beside urgent ones', () => {
    const former = new BatchFormer(LIMITS);
    let overnight = 0;
    for (let batch = 0; batch < 2000; batch++) {
      const urgent = ['a', 'b', 'c', 'd'].map(name => step(name, 'urgent'));
      const picks = former.form(
        [...urgent, step('x', 'overnight')],
        batch * 25,
      );
      overnight += picks.filter(p => p.step.rank === 'overnight').length;
    }
    expect(overnight / 8000).toBeGreaterThanOrEqual(0.018);
    expect(overnight / 8000).toBeLessThanOrEqual(0.022);
  });
});
