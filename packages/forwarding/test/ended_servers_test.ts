/** Whether a response that ended with its connection is whole. */
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {Logger} from '@azurecrank/core';
import {
  FleetView,
  LeavingServers,
  PathFailureDetector,
  ServerHolds,
  type BackendServer,
  type ServerControl,
  type ServerReport,
} from '@azurecrank/forwarding';
import {expect} from 'earl';
import {emptyFleet} from './fleet_fixture.js';
import {flushPromises} from './relay_harness.js';

const REFUSED = new Error('connect ECONNREFUSED');
const RESET = new Error('read ECONNRESET');

describe('the question whether a server has ended', () => {
  let server: BackendServer;
  let detector: PathFailureDetector;
  /** Ends each question that was sent and is not answered. */
  let questions: Array<{
    resolve: (report: ServerReport) => void;
    reject: (error: Error) => void;
  }>;
  let asked: number;

  /** @param failure of all questions; by default the server is alive */
  const answer = async (failure?: Error) => {
    const {startedAtMs} = server;
    const report = {startedAtMs, isLeaving: false} as ServerReport;
    for (const {resolve, reject} of questions.splice(0)) {
      if (failure) reject(failure);
      else resolve(report);
    }
    for (let i = 0; i < 5; i++) await flushPromises();
  };

  const passRetryDelay = async () => {
    mock.timers.tick(20);
    await flushPromises();
  };

  beforeEach(() => {
    questions = [];
    asked = 0;
    [server] = emptyFleet();
    const fleet = new FleetView();
    fleet.put(server, 0);
    const logger = new Logger('test', 'silent');
    const control = {
      fetchReport: () => {
        asked++;
        return new Promise<ServerReport>((resolve, reject) =>
          questions.push({resolve, reject}),
        );
      },
    } as unknown as ServerControl;
    detector = new PathFailureDetector({
      control,
      fleet,
      leavingServers: new LeavingServers({
        fleet,
        logger,
        onServerLost: () => {},
      }),
      holds: new ServerHolds(() => {}),
      logger,
      nowMs: () => 0,
      wasPaused: () => false,
      healthPathOf: () => '/health',
      hasEventSince: () => false,
      onServerLost: () => {},
      onServerEnded: () => {},
    });
  });

  // Guards against a part of an answer that is passed on as whole, as its
  // server was still alive when another answer of it had ended.
  it('is sent again for a connection that closed after an answer', async () => {
    const first = detector.hasEnded(server);
    await answer();
    expect(await first).toEqual(false);
    const second = detector.hasEnded(server);
    await answer(REFUSED);
    expect(await second).toEqual(true);
  });

  it('is sent again for a connection that closed meanwhile', async () => {
    const first = detector.hasEnded(server);
    const second = detector.hasEnded(server);
    await answer();
    expect(await first).toEqual(false);
    await answer(REFUSED);
    expect(await second).toEqual(true);
  });

  describe('whose own connection is lost', () => {
    beforeEach(() => mock.timers.enable({apis: ['setTimeout']}));

    afterEach(() => mock.timers.reset());

    // Guards against a part of an answer that is passed on as whole, as the
    // question reached a process that was ending.
    it('is sent again to a process that ends', async () => {
      const first = detector.hasEnded(server);
      await answer(RESET);
      await passRetryDelay();
      await answer(REFUSED);
      expect(await first).toEqual(true);
    });

    it('is sent again to a server that closes idle connections', async () => {
      const first = detector.hasEnded(server);
      await answer(RESET);
      await passRetryDelay();
      await answer();
      expect(await first).toEqual(false);
    });

    it('counts as answered by the end of a server that never responds', async () => {
      const first = detector.hasEnded(server);
      for (let i = 0; i < 3; i++) {
        await answer(RESET);
        await passRetryDelay();
      }
      expect(await first).toEqual(true);
    });
  });

  it('is shared by all that wait for the next one', async () => {
    const all = Array.from({length: 20}, () => detector.hasEnded(server));
    await answer();
    await answer();
    expect(await Promise.all(all)).toEqual(all.map(() => false));
    expect(asked).toEqual(2);
  });
});
