/** Holds the newest routing table; an older one is never taken. */
import type {Logger} from '@azurecrank/core';
import type {StoreCodec} from '../adapter/wire_codec.js';
import type {RoutingView} from '../gateway/accept_request.js';
import {RouteIndex} from './route_index.js';
import type {RoutingTable} from './routing_table.js';

export class TableHolder {
  private held: RoutingView | undefined;
  private heldText = '';

  constructor(
    private readonly codec: StoreCodec,
    private readonly logger: Logger,
    private readonly onChange: (table: RoutingTable) => void,
  ) {}

  get view(): RoutingView | undefined {
    return this.held;
  }

  get table(): RoutingTable | undefined {
    return this.held?.table;
  }

  /** The table as it is stored; version 0 and empty before there is one. */
  get stored(): {readonly version: number; readonly text: string} {
    return {version: this.held?.table.version ?? 0, text: this.heldText};
  }

  /** Takes the table if it is newer than the held one. */
  offer(text: string, source: 'store' | 'peer'): void {
    if (text === this.heldText) return;
    const decoded = this.codec.decodeTable(text);
    if (decoded.kind !== 'decoded') {
      const {step, cause} = decoded;
      this.logger.error('routing table is unreadable', {step, cause, source});
      return;
    }
    const table = decoded.value;
    const version = this.held?.table.version ?? 0;
    if (table.version <= version) return;
    this.heldText = text;
    this.held = {table, index: new RouteIndex(table.routes)};
    this.logger.info('routing table in force', {
      configVersion: table.version,
      previous: version,
      source,
      routes: table.routes.length,
    });
    this.onChange(table);
  }
}
