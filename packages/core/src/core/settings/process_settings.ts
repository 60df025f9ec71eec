/** Settings of the two kinds of processes, with units and defaults. */
import * as z from 'zod';
import type {SilenceOptions} from '../detection/silence_detector.js';

const port = z.number().int().min(0).max(65535);
const positiveMs = z.number().int().positive();
const url = z.url();

/** Settings that every process has. */
const common = {
  /** Name of this process in logs and errors. */
  node: z.string().min(1),
  /** Host as the platform's host list names it. */
  host: z.string().min(1),
  availabilityZone: z.string().min(1),
  region: z.string().min(1).default('default'),
  /** IP address at which other processes reach this one. */
  address: z.string().min(1).default('127.0.0.1'),
  /** TCP port for other processes; 0 takes a free one. */
  peerPort: port.default(0),
  /** `IP:PORT` told to other processes, where it differs from the listener. */
  advertisedAddress: z
    .string()
    .regex(/^.+:\d+$/)
    .optional(),
  keyValueUrl: url,
  hostListUrl: url.optional(),
  /** Peers to ask for configuration and plan while the service is down. */
  seedPeers: z.array(z.string().regex(/^.+:\d+$/)).default([]),
  logLevel: z
    .enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
  /** Longest time a planned stop waits for requests in flight. */
  drainDeadlineMs: positiveMs.default(60_000),
  /** Silence on a connection with outstanding work before it is suspected. */
  suspectAfterMs: positiveMs.default(600),
  /** Time a probe on a second connection may take. */
  probeTimeoutMs: positiveMs.default(300),
};

export const entrySettingsSchema = z.strictObject({
  ...common,
  /** HTTP port for callers; 0 takes a free one. */
  httpPort: port.default(0),
  /** Time after a stop signal during which requests are still accepted. */
  balancerGraceMs: z.number().int().min(0).default(1000),
  /** Largest request body; larger ones are refused. */
  maxBodyBytes: z.number().int().positive().default(4_000_000),
  /** Longest time a caller may take to send its request body. */
  bodyTimeoutMs: positiveMs.default(30_000),
  /** Chains of each model among which this process chooses. */
  chainSubsetSize: z.number().int().positive().default(12),
  /** Lease of the process that computes the plan. */
  placementLeaseMs: positiveMs.default(5000),
  /** Most requests in flight; more are refused. */
  maxRequests: z.number().int().positive().default(2000),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;

const sideSettings = z.strictObject({
  ...common,
  /** Name of the backend server beside this process. */
  server: z.string().min(1),
  /** HTTP port for health and metrics; 0 takes a free one. */
  httpPort: port.default(0),
  /** The model engine, if the backend server is one. */
  engineUrl: url.optional(),
  /** The plain service, if the backend server is one. */
  serviceUrl: url.optional(),
  /** Name of the plain service. */
  service: z.string().optional(),
  weightStoreUrl: url.optional(),
  /** Outputs kept for replay, over all sequences. */
  activationLogBytes: z.number().int().positive().default(256_000_000),
  /** Sequences without a message for this long are released. */
  orphanTimeoutMs: positiveMs.default(30_000),
  maxQueuedRequests: z.number().int().positive().default(256),
  maxQueuedPerWorkspace: z.number().int().positive().default(64),
  /** Slots that overnight requests may not take. */
  urgentReserveSlots: z.number().int().min(0).default(1),
  /** Claims within this time share one write. */
  claimBatchWindowMs: z.number().int().min(0).default(5),
  /** Time an outcome waits for a claim on its page, to share the write. */
  claimRecordDelayMs: z.number().int().min(0).default(1000),
  /** Time for which the outcome of a claimed call is kept. */
  claimRetentionMs: positiveMs.default(3_600_000),
  /** Pages over which the claims of a service are spread. */
  claimPages: z.number().int().positive().default(64),
  /** Largest recorded answer of a claimed call. */
  claimBodyBytes: z.number().int().min(0).default(4096),
});

/** A process beside nothing would register a server that can do no work. */
export const sideSettingsSchema = sideSettings.superRefine(
  ({engineUrl, serviceUrl, service}, context) => {
    const report = (key: string, message: string) =>
      context.addIssue({code: 'custom', path: [key], message});
    if (!engineUrl && !serviceUrl) {
      report(
        'engineUrl',
        'missing; set engine_url, or service_url and service',
      );
    }
    if (serviceUrl && service === undefined) {
      report('service', 'missing; service_url needs the name of the service');
    }
    if (service !== undefined && !serviceUrl) {
      report('serviceUrl', 'missing; service needs the URL of the service');
    }
  },
);

export type SideSettings = z.infer<typeof sideSettingsSchema>;

/** Returns the detection periods of a process. */
export function toSilenceOptions(
  settings: Pick<EntrySettings, 'suspectAfterMs' | 'probeTimeoutMs'>,
): Partial<SilenceOptions> {
  const {suspectAfterMs, probeTimeoutMs} = settings;
  return {suspectAfterMs, probeTimeoutMs};
}
