/**
 * Takes servers out of use whose responses state that they leave. An entry
 * learns of it this way even if it reaches neither the store nor its peers.
 */
import type {Logger} from '@azurecrank/core';
import type {ServerReport} from '../adapter/platform_adapter.js';
import type {BackendServer} from './backend_server.js';
import type {FleetView} from './fleet_view.js';

export interface LeavingServersOptions {
  readonly fleet: FleetView;
  readonly logger: Logger;
  /** Called when a server has been taken out of use. */
  readonly onServerLost: () => void;
}

export class LeavingServers {
  constructor(private readonly options: LeavingServersOptions) {}

  /**
   * Records that a server states that it leaves. It gets no new requests from
   * now on, whatever its registration says; a later incarnation does.
   * @param server the incarnation that was asked
   * @param respondedTo what the server responded to
   */
  record(
    {server, address, startedAtMs}: BackendServer,
    respondedTo: 'request' | 'health_check' | 'report',
  ): void {
    const {fleet, logger, onServerLost} = this.options;
    if (!fleet.markLeaving(server, startedAtMs)) return;
    logger.info('server leaves', {peer: address, server, respondedTo});
    onServerLost();
  }

  /**
   * The same for a report, which names the incarnation that it is from.
   * @param asked the server that is registered with the address of the report
   */
  recordReport(
    asked: BackendServer,
    {isLeaving, startedAtMs}: ServerReport,
  ): void {
    if (isLeaving) this.record({...asked, startedAtMs}, 'report');
  }
}
