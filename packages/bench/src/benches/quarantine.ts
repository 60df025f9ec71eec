/** What an entry spends on requests that may end servers. */
import {
  encodePart,
  toId,
  type ConfigVersion,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';
import {
  EMPTY_STATE,
  RequestQuarantine,
  digestOf,
  promptPartKey,
  requestKey,
  scopeOf,
  toReport,
  type CrashId,
  type DigestedRequest,
  type RequestDigest,
} from '@azurecrank/forwarding';
import type {Bench} from '../framework/bench.js';

const REQUESTS = 20_000;
const LARGE_BODY_BYTES = 4 * 1024 * 1024;
const LARGE_BODIES = 50;
const DISTINCT_REQUESTS = 1_000_000;
const SUSPECTS = 1024;
const ENTRIES = 370;
/** Target of the control traffic of an entry, in bytes a second. */
const TARGET_BYTES_PER_S = 6144;
const SERVICE = toId<ServiceId>('desk');

function requestOf(target: string, body?: Buffer): DigestedRequest {
  const workspace = toId<WorkspaceId>('works');
  return {workspace, method: 'POST', host: 'shop.example', target, body};
}

/** Mean time of a step in microseconds. */
function meanUs(count: number, step: (i: number) => void): number {
  const beganMs = performance.now();
  for (let i = 0; i < count; i++) step(i);
  return ((performance.now() - beganMs) * 1000) / count;
}

function suspectedQuarantine(suspects: number): RequestQuarantine {
  const quarantine = new RequestQuarantine(() => {});
  for (let i = 0; i < suspects; i++) {
    const digest = digestOf(requestOf(`/s/${i}`));
    const crash = `i-${i % 64}@1780000000000` as CrashId;
    quarantine.recordCrash([requestKey(digest)], crash, 0);
  }
  return quarantine;
}

function reportBytes(quarantine: RequestQuarantine, nowMs: number): number {
  const state = {...EMPTY_STATE, quarantine: quarantine.report(nowMs)};
  const empty = encodePart(toReport(EMPTY_STATE, 1 as ConfigVersion, false));
  const report = toReport(state, 1 as ConfigVersion, false);
  return encodePart(report).length - empty.length;
}

/** Bytes in a report for one request that is blamed for so many crashes. */
function blamedBytes(crashes: number): number {
  const quarantine = new RequestQuarantine(() => {});
  const key = requestKey(digestOf(requestOf('/crash')));
  for (let i = 0; i < crashes; i++)
    quarantine.recordCrash(
      [key],
      `i-4a27a5a8a${i}@178000000000${i}` as CrashId,
      i * 1000,
    );
  return reportBytes(quarantine, 60_000);
}

function heapMb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1024 / 1024;
}

/** Heap that stays after crashes and answers of distinct requests, in MB. */
function heapAfterDistinctMb(): number {
  const beforeMb = heapMb();
  const quarantine = new RequestQuarantine(() => {});
  for (let i = 0; i < DISTINCT_REQUESTS; i++) {
    const key = requestKey(`digest-of-request-${i}` as RequestDigest);
    quarantine.recordCrash([key], `i-${i}@1` as CrashId, i / 1000);
    const part = toId<Parameters<typeof promptPartKey>[1]>(`p${i}`);
    quarantine.recordAnswer([promptPartKey(SERVICE, part)], i / 1000);
  }
  const afterMb = heapMb();
  return quarantine.suspectsRequests ? afterMb - beforeMb : Infinity;
}

export const bench: Bench = {
  name: 'quarantine',
  description: 'processor, memory and bytes of keeping requests from servers',
  async run({log}) {
    const quarantine = suspectedQuarantine(SUSPECTS);
    const otherUs = meanUs(REQUESTS, i =>
      quarantine.suspectsScope(scopeOf(requestOf(`/other/${i}`))),
    );
    log(`request while others are suspected: ${otherUs.toFixed(1)} us`);
    const body = Buffer.alloc(LARGE_BODY_BYTES, 'x');
    const largeUs = meanUs(LARGE_BODIES, i =>
      digestOf(requestOf(`/large/${i}`, body)),
    );
    log(`digest of a body of 4 MiB: ${(largeUs / 1000).toFixed(2)} ms`);
    let nowMs = 1000;
    const key = requestKey(digestOf(requestOf('/s/1')));
    const blameUs = meanUs(100, i => {
      quarantine.recordCrash([key], `i-new${i}@1` as CrashId, (nowMs += 400));
      quarantine.blockedForMs([key], nowMs + 300);
    });
    log(`blame among ${SUSPECTS} suspects: ${blameUs.toFixed(0)} us`);
    log(
      `heap after ${DISTINCT_REQUESTS} distinct requests: ${heapAfterDistinctMb().toFixed(1)} MB`,
    );
    const ownBytes = reportBytes(suspectedQuarantine(64), 100) / 64;
    log(
      `bytes in a report for a suspect with one crash: ${ownBytes.toFixed(0)}`,
    );
    const blamed = blamedBytes(6);
    log(`bytes for a blamed request, once a second: ${blamed}`);
    log(
      `from ${ENTRIES} entries all to all: ${(blamed * (ENTRIES - 1)) / 1000} KB/s`,
    );
    return {
      ours: blamed,
      baseline: TARGET_BYTES_PER_S,
      target: 'bytes a second over a relay <= 6 KB/s',
      met: blamed <= TARGET_BYTES_PER_S,
    };
  },
};
