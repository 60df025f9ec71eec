/** Holds the newest routing table and ignores older ones. */
import {isDeepStrictEqual} from 'node:util';
import type {Logger, ServiceId} from '@azurecrank/core';
import type {StoreCodec} from '../adapter/platform_adapter.js';
import type {RoutingView} from '../gateway/accept_request.js';
import {RequestRanking} from './request_ranking.js';
import {RouteIndex} from './route_index.js';
import type {RoutingTable, ServiceSpec} from './routing_table.js';

export class TableHolder {
  private current: RoutingView | undefined;
  private currentText = '';
  /** Services of all tables so far, as the newest table with them has them. */
  private readonly services = new Map<ServiceId, ServiceSpec>();

  constructor(
    private readonly codec: StoreCodec,
    private readonly logger: Logger,
    private readonly onChange: (table: RoutingTable) => void,
  ) {}

  get view(): RoutingView | undefined {
    return this.current;
  }

  get table(): RoutingTable | undefined {
    return this.current?.table;
  }

  /**
   * Returns a service of the current table, or of the last one that had it:
   * requests that were accepted under that table go on with it.
   */
  findService(service: ServiceId): ServiceSpec | undefined {
    return this.services.get(service);
  }

  /** The table in its stored form; version 0 and empty before the first. */
  get stored(): {readonly version: number; readonly text: string} {
    return {version: this.current?.table.version ?? 0, text: this.currentText};
  }

  /** Replaces the current table if the given one is newer and readable. */
  updateIfNewer(text: string, source: 'store' | 'peer'): void {
    if (text === this.currentText) return;
    const decoded = this.codec.decodeTable(text);
    if (decoded.kind !== 'decoded') {
      const {step, cause} = decoded;
      this.logger.error(
        'routing table is unreadable; keeping the current one',
        {
          step,
          cause,
          source,
        },
      );
      return;
    }
    const version = this.current?.table.version ?? 0;
    if (decoded.value.version <= version) return;
    this.currentText = text;
    const table = this.withKnownServices(decoded.value);
    this.current = {
      table,
      index: new RouteIndex(table.routes),
      ranking: new RequestRanking(table),
    };
    this.logger.info('routing table in force', {
      configVersion: table.version,
      previous: version,
      source,
      routes: table.routes.length,
    });
    this.onChange(table);
  }

  /**
   * Returns the table with the objects of services that have not changed: what
   * is derived from them holds.
   */
  private withKnownServices(table: RoutingTable): RoutingTable {
    const services = new Map<ServiceId, ServiceSpec>();
    for (const [service, spec] of table.services) {
      const known = this.services.get(service);
      const isSame = isDeepStrictEqual(known, spec);
      services.set(service, isSame && known ? known : spec);
    }
    for (const [service, spec] of services) this.services.set(service, spec);
    return {...table, services};
  }
}
