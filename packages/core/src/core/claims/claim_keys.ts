/** Names of claims, pages and requests, and the server preferred for a page. */
import {createHash} from 'node:crypto';
import type {ServerId, ServiceId, WorkspaceId} from '../ids/ids.js';

/** Bytes of a hash that choose the page or weigh a server. */
const HASH_PREFIX_BYTES = 6;

/** Hash that names the claim of an idempotency key within its page. */
export function claimKeyHash(
  workspace: WorkspaceId,
  service: ServiceId,
  idempotencyKey: string,
): string {
  return hashParts(workspace, service, idempotencyKey).toString('base64url');
}

/** Hash by which a retry with a different request is recognised. */
export function requestFingerprint(
  method: string,
  path: string,
  body: Uint8Array,
): string {
  return hashParts(method, path, body).toString('base64url');
}

/** Index of the page that holds the claim. */
export function claimPageIndex(keyHash: string, pages: number): number {
  return prefixNumber(Buffer.from(keyHash, 'base64url')) % pages;
}

/** Key of a page in the key-value service. */
export function claimPageKey(service: ServiceId, page: number): string {
  return `claims/${service}/${page}`;
}

/** Key of the page count that all sides of the service share. */
export function claimLayoutKey(service: ServiceId): string {
  return `claims/${service}/layout`;
}

/**
 * Orders servers by rendezvous hashing: when one leaves, only the pages that
 * it came first for move.
 */
export function orderServers(
  pageKey: string,
  servers: readonly ServerId[],
): ServerId[] {
  return servers
    .map(server => ({server, weight: prefixNumber(hashParts(pageKey, server))}))
    .sort((a, b) => b.weight - a.weight || (a.server < b.server ? -1 : 1))
    .map(({server}) => server);
}

/** The server that should write the page, or undefined if there is none. */
export function preferredServer(
  pageKey: string,
  servers: readonly ServerId[],
): ServerId | undefined {
  return orderServers(pageKey, servers)[0];
}

/** Each part is preceded by its length, so that parts cannot run together. */
function hashParts(...parts: readonly (string | Uint8Array)[]): Buffer {
  const hash = createHash('sha256');
  for (const part of parts) {
    const bytes = Buffer.from(part);
    hash.update(`${bytes.length}:`).update(bytes);
  }
  return hash.digest();
}

function prefixNumber(hash: Buffer): number {
  return hash.readUIntBE(0, HASH_PREFIX_BYTES);
}
