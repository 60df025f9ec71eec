/** Schema of the settings of the forwarding entry, with defaults. */
import {isIpSocketAddress} from '@azurecrank/core';
import * as z from 'zod';

const port = z.number().int().min(1).max(65535);
const address = z.string().regex(/^.+:\d+$/);

export const forwardingSettingsSchema = z.strictObject({
  /** Name of this process in logs and errors. */
  node: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** `IP:PORT` on which callers connect. */
  callerAddress: address,
  /** `IP:PORT` for the readiness checks of the load balancer. */
  readyAddress: address,
  /** IP address and TCP port on which other entries connect. */
  peerHost: z.string().min(1),
  peerPort: port,
  /** `IP:PORT` at which other entries connect, if it is another one. */
  peerAdvertisedAddress: z
    .string()
    .refine(isIpSocketAddress, 'not IP:PORT')
    .optional(),
  /** Entries that serve the routing table while the store is unavailable. */
  seedPeers: z.array(address).default([]),
  /** `IP:PORT` of the platform's store. */
  storeAddress: address,
  /** TCP port of `/metrics`. */
  metricsPort: port,
  /** Time from a stop signal until the process is killed, in milliseconds. */
  graceMs: z.number().int().positive().default(8000),
  /**
   * Limits on the retries at a service, over all entries and within a window:
   * retries for each request, and retries in addition.
   */
  retryRatio: z.number().min(0).default(0.2),
  extraRetries: z.number().min(0).default(100),
  retryWindowS: z.number().positive().default(10),
  /** Interval at which backend servers renew their registrations. */
  serverHeartbeatMs: z.number().int().positive().default(1200),
  logLevel: z
    .enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
});

export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;
