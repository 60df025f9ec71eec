/** Schemas of the settings of entry and side processes, with units and defaults. */
import * as z from 'zod';
import type {FailureDetectorOptions} from '../detection/failure_detector.js';

const port = z.number().int().min(0).max(65535);
const positiveMs = z.number().int().positive();
const url = z.url();

/** Settings of every process. */
const commonSettings = {
  /** Name of the process in logs and errors. */
  node: z.string().min(1),
  /** Name of the host in the platform's host list. */
  host: z.string().min(1),
  availabilityZone: z.string().min(1),
  region: z.string().min(1).default('default'),
  /** IP address at which peers reach this process. */
  address: z.string().min(1).default('127.0.0.1'),
  /** TCP port for peers; 0 selects a free one. */
  peerPort: port.default(0),
  /** `IP:PORT` announced to peers, if it differs from the bound address. */
  advertisedAddress: z
    .string()
    .regex(/^.+:\d+$/)
    .optional(),
  keyValueUrl: url,
  hostListUrl: url.optional(),
  /** Peers that provide configuration and plan while the key-value service is down. */
  seedPeers: z.array(z.string().regex(/^.+:\d+$/)).default([]),
  logLevel: z
    .enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
  /** Maximum time that a planned stop waits for requests in flight. */
  drainDeadlineMs: positiveMs.default(60_000),
  /** Silence with unanswered messages after which a peer is suspected and probed. */
  suspectAfterMs: positiveMs.default(600),
  /** Timeout of a probe on a second connection. */
  probeTimeoutMs: positiveMs.default(300),
};

export const entrySettingsSchema = z.strictObject({
  ...commonSettings,
  /** HTTP port for callers; 0 selects a free one. */
  httpPort: port.default(0),
  /** Time after a stop signal for which requests are still accepted. */
  balancerGraceMs: z.number().int().min(0).default(1000),
  /** Maximum size of a request body; larger ones are refused. */
  maxBodyBytes: z.number().int().positive().default(4_000_000),
  /** Maximum time that a caller may take to send its request body. */
  bodyTimeoutMs: positiveMs.default(30_000),
  /** Number of chains of each model among which this process chooses. */
  chainSubsetSize: z.number().int().positive().default(12),
  /** Duration of the lease under which one process computes the plan. */
  placementLeaseMs: positiveMs.default(5000),
  /** Maximum number of requests in flight; more are refused. */
  maxRequests: z.number().int().positive().default(2000),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;

const sideSettings = z.strictObject({
  ...commonSettings,
  /** Name of the backend server beside this process. */
  server: z.string().min(1),
  /** HTTP port for health checks and metrics; 0 selects a free one. */
  httpPort: port.default(0),
  /** URL of the model engine, if the backend server runs one. */
  engineUrl: url.optional(),
  /** URL of the plain service, if the backend server runs one. */
  serviceUrl: url.optional(),
  /** Name of the plain service. */
  service: z.string().optional(),
  weightStoreUrl: url.optional(),
  /** Maximum size of the outputs kept for replay, over all sequences. */
  activationLogBytes: z.number().int().positive().default(256_000_000),
  /** Time without a message after which a sequence is released. */
  orphanTimeoutMs: positiveMs.default(30_000),
  maxQueuedRequests: z.number().int().positive().default(256),
  maxQueuedPerWorkspace: z.number().int().positive().default(64),
  /** Number of slots that overnight requests may not use. */
  urgentReserveSlots: z.number().int().min(0).default(1),
  /** Time window within which claims are written together. */
  claimBatchWindowMs: z.number().int().min(0).default(5),
  /** Maximum time that an outcome waits to be written with a claim on its page. */
  claimRecordDelayMs: z.number().int().min(0).default(1000),
  /** Time for which the outcome of a claimed call is kept. */
  claimRetentionMs: positiveMs.default(3_600_000),
  /** Number of pages over which the claims of a service are distributed. */
  claimPages: z.number().int().positive().default(64),
  /** Maximum size of the recorded response body of a claimed call. */
  claimBodyBytes: z.number().int().min(0).default(4096),
});

/**
 * Requires an engine or a plain service. Without one, the process would
 * register a server that can do no work.
 */
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

/** Returns the settings of a process that configure its failure detector. */
export function toSilenceOptions(
  settings: Pick<EntrySettings, 'suspectAfterMs' | 'probeTimeoutMs'>,
): Partial<FailureDetectorOptions> {
  const {suspectAfterMs, probeTimeoutMs} = settings;
  return {suspectAfterMs, probeTimeoutMs};
}
