/**
 * Finds out why streams are silent. The first server of a path reports which
 * other server its requests wait for; if it does not answer itself, it is the
 * one at fault. Asks each server once for all streams that wait for it.
 */
import type {Logger} from '@azurecrank/core';
import type {ServerControl} from '../adapter/wire_codec.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';

export interface PathDoctorOptions {
  readonly control: ServerControl;
  readonly fleet: FleetView;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** A server was found not to answer. */
  readonly onSuspect: (address: ServerAddress) => void;
}

/** Reports lag by some 200 ms, so asking more often shows nothing new. */
const MIN_PERIOD_MS = 250;

/** Time for a report; servers answer within a few milliseconds. */
const REPORT_TIMEOUT_MS = 350;

export class PathDoctor {
  private readonly askedAtMs = new Map<ServerAddress, number>();

  constructor(private readonly options: PathDoctorOptions) {}

  /** Asks the first server of a silent stream, at most once a period. */
  examine(first: ServerAddress): void {
    const {nowMs, fleet} = this.options;
    const now = nowMs();
    if (fleet.isSuspected(first)) return;
    const lastMs = this.askedAtMs.get(first) ?? -Infinity;
    if (now - lastMs < MIN_PERIOD_MS) return;
    this.askedAtMs.set(first, now);
    void this.ask(first);
  }

  /** Records a server that gave no answer on a request's own connection. */
  suspect(address: ServerAddress, cause: string): void {
    const {fleet, logger, nowMs, onSuspect} = this.options;
    if (!fleet.suspect(address, cause, nowMs())) return;
    logger.warn('server suspected', {peer: address, cause});
    onSuspect(address);
  }

  private async ask(first: ServerAddress): Promise<void> {
    const {control, logger} = this.options;
    try {
      const report = await control.report(first, REPORT_TIMEOUT_MS);
      const addresses = new Set(report.stalled.map(({address}) => address));
      for (const address of addresses) {
        this.suspect(address, `requests at ${first} wait for it`);
      }
      if (addresses.size > 0) return;
      const {isBusy, pace} = report;
      logger.info('silent server answers', {peer: first, isBusy, pace});
    } catch (error) {
      this.suspect(first, String(error));
    }
  }
}
