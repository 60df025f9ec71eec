/** Settings of the forwarding entry, with units and defaults. */
import * as z from 'zod';

const port = z.number().int().min(1).max(65535);
const address = z.string().regex(/^.+:\d+$/);

export const forwardingSettingsSchema = z.strictObject({
  /** Name of this process in logs and errors. */
  node: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** `IP:PORT` for callers. */
  callerAddress: address,
  /** `IP:PORT` for the balancer's question whether this entry is ready. */
  readyAddress: address,
  /** IP address and TCP port for the other entries. */
  peerHost: z.string().min(1),
  peerPort: port,
  /** Entries to ask for the routing table while the store is away. */
  seedPeers: z.array(address).default([]),
  /** `IP:PORT` of the platform's store. */
  storeAddress: address,
  /** TCP port of `/metrics`. */
  metricsPort: port,
  /** Time from a stop signal to the kill. */
  graceMs: z.number().int().positive().default(8000),
  logLevel: z
    .enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
});

export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;
