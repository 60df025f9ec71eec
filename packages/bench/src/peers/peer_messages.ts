/** Messages between the peer benchmark and its processes. */
import type {RegisteredEntry} from '@azurecrank/forwarding';

/** `full`: each entry reports to all others. */
export type ExchangeKind = 'mesh' | 'full';

export type PeerRequest =
  | {
      readonly type: 'start';
      readonly kind: ExchangeKind;
      /** Availability zone of each entry to start. */
      readonly zones: readonly string[];
    }
  | {readonly type: 'entries'; readonly entries: readonly RegisteredEntry[]}
  /** Makes the reports change from now on. */
  | {readonly type: 'change'}
  | {readonly type: 'usage'};

/** Used since the start of the process. */
export interface PeerUsage {
  readonly type: 'usage';
  readonly cpuUs: number;
  readonly trafficBytes: number;
  readonly residentBytes: number;
  /** Number of entries of the process that are relays. */
  readonly relays: number;
}

export type PeerResponse =
  | {
      readonly type: 'started';
      readonly registered: readonly RegisteredEntry[];
    }
  | {readonly type: 'done'}
  | PeerUsage;
