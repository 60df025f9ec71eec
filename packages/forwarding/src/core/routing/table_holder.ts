/** Holds the newest routing table and ignores older ones. */
import type {Logger} from '@azurecrank/core';
import type {StoreCodec} from '../adapter/platform_adapter.js';
import type {RoutingView} from '../gateway/accept_request.js';
import {RequestRanking} from './request_ranking.js';
import {RouteIndex} from './route_index.js';
import type {RoutingTable} from './routing_table.js';

export class TableHolder {
  private current: RoutingView | undefined;
  private currentText = '';

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
    const table = decoded.value;
    const version = this.current?.table.version ?? 0;
    if (table.version <= version) return;
    this.currentText = text;
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
}
