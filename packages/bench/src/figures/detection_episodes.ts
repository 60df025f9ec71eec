/**
 * Decisions of the silence detector in random episodes, against a timeout of
 * the same length without probe and without regard to own pauses.
 */
import {FailureDetector} from '@azurecrank/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export type Episode =
  /** The peer never answers again on any connection. */
  | 'dead'
  /** Only the connection is silent. */
  | 'silent_connection'
  /** The peer pauses for up to 850 ms. */
  | 'peer_pause'
  /** This process pauses for up to 5 s while the peer is well. */
  | 'own_pause';

export interface EpisodeFigures {
  readonly declaredDown: number;
  readonly replaced: number;
  /** Declared down by the plain timeout. */
  readonly baselineDown: number;
  /** Time from the start of the silence to the decision. */
  readonly decisionMsP50: number;
  readonly decisionMsMax: number;
}

const TICK_MS = 50;
const ANSWER_MS = 5;
const BASELINE_TIMEOUT_MS = 900;
const LENGTH_MS = 8000;

interface Silence {
  readonly fromMs: number;
  /** End of the silence of the connection. */
  readonly untilMs: number;
  /** End of the time in which the peer answers no probe. */
  readonly probesLostUntilMs: number;
  readonly ownPauseMs: number;
}

interface Outcome {
  readonly decision?: string;
  readonly afterMs: number;
  readonly baselineDown: boolean;
}

function createSilence(episode: Episode, random: () => number): Silence {
  const fromMs = 1000 + random() * TICK_MS;
  const isPeerPause = episode === 'peer_pause';
  const endMs = isPeerPause ? fromMs + random() * 850 : Infinity;
  return {
    fromMs,
    untilMs: episode === 'own_pause' ? fromMs : endMs,
    probesLostUntilMs: episode === 'dead' || isPeerPause ? endMs : fromMs,
    ownPauseMs: episode === 'own_pause' ? 200 + random() * 4800 : 0,
  };
}

/** The peer answers each tick's ping unless the connection is silent. */
function runEpisode(silence: Silence): Outcome {
  const detector = new FailureDetector(0);
  detector.handle({type: 'sent_expecting_answer', nowMs: 0});
  let lastHeardMs = 0;
  let baselineDown = false;
  let probeAtMs = Infinity;
  let paused = silence.ownPauseMs === 0;
  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += TICK_MS) {
    if (!paused && nowMs >= silence.fromMs) {
      paused = true;
      nowMs += Math.round(silence.ownPauseMs);
      detector.handle({
        type: 'paused',
        nowMs,
        pausedMs: silence.ownPauseMs,
      });
    }
    baselineDown ||= nowMs - lastHeardMs > BASELINE_TIMEOUT_MS;
    const answeredMs = Math.max(probeAtMs, silence.probesLostUntilMs);
    const probeAnswered = answeredMs + ANSWER_MS <= nowMs;
    const decision = probeAnswered
      ? detector.handle({type: 'probe_answered', nowMs})
      : detector.handle({type: 'tick', nowMs});
    if (decision === 'probe') probeAtMs = nowMs;
    if (decision === 'replace_connection' || decision === 'declare_down') {
      const afterMs = nowMs - silence.fromMs;
      baselineDown ||= silence.untilMs - lastHeardMs > BASELINE_TIMEOUT_MS;
      return {decision, afterMs, baselineDown};
    }
    if (nowMs >= silence.fromMs && nowMs < silence.untilMs) continue;
    lastHeardMs = nowMs;
    detector.handle({type: 'received', nowMs});
  }
  return {afterMs: 0, baselineDown};
}

export function measureEpisodes(
  episode: Episode,
  seed: number,
  count = 2000,
): EpisodeFigures {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const outcomes = Array.from({length: count}, () =>
    runEpisode(createSilence(episode, random)),
  );
  const times = outcomes
    .filter(outcome => outcome.decision)
    .map(outcome => outcome.afterMs)
    .sort((a, b) => a - b);
  const countOf = (decision: string) =>
    outcomes.filter(outcome => outcome.decision === decision).length;
  return {
    declaredDown: countOf('declare_down'),
    replaced: countOf('replace_connection'),
    baselineDown: outcomes.filter(outcome => outcome.baselineDown).length,
    decisionMsP50: times[Math.floor(times.length / 2)] ?? 0,
    decisionMsMax: times[times.length - 1] ?? 0,
  };
}
