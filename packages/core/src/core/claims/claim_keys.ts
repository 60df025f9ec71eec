/** Derives claim and page keys, fingerprints and the server of a page. */
import {createHash} from 'node:crypto';
import type {ServerId, ServiceId, WorkspaceId} from '../ids/ids.js';

/** Leading bytes of a hash that select a page or order servers. */
const HASH_PREFIX_BYTES = 6;

/** Key of a claim within its page. */
export function claimKeyHash(
  workspace: WorkspaceId,
  service: ServiceId,
  idempotencyKey: string,
): string {
  return hashParts(workspace, service, idempotencyKey).toString('base64url');
}

/** Hash that tells whether a retry has the same request. */
export function requestFingerprint(
  method: string,
  path: string,
  body: Uint8Array,
): string {
  return hashParts(method, path, body).toString('base64url');
}

/** Index of the page that holds the claim. */
export function claimPageIndex(keyHash: string, pages: number): number {
  return hashPrefixNumber(Buffer.from(keyHash, 'base64url')) % pages;
}

/** Key of a page in the key-value service. */
export function claimPageKey(service: ServiceId, page: number): string {
  return `claims/${service}/${page}`;
}

/** Key of the page count that all side processes of the service use. */
export function claimLayoutKey(service: ServiceId): string {
  return `claims/${service}/layout`;
}

/**
 * Orders servers by rendezvous hashing. When a server leaves, only the pages
 * for which it was first move to another server.
 */
export function orderServersForPage(
  pageKey: string,
  servers: readonly ServerId[],
): ServerId[] {
  return servers
    .map(server => ({
      server,
      weight: hashPrefixNumber(hashParts(pageKey, server)),
    }))
    .sort((a, b) => b.weight - a.weight || (a.server < b.server ? -1 : 1))
    .map(({server}) => server);
}

/** The server that should write the page, or undefined if there is none. */
export function preferredServerForPage(
  pageKey: string,
  servers: readonly ServerId[],
): ServerId | undefined {
  return orderServersForPage(pageKey, servers)[0];
}

/** Hashes each part after its length, so that parts cannot run together. */
function hashParts(...parts: readonly (string | Uint8Array)[]): Buffer {
  const hash = createHash('sha256');
  for (const part of parts) {
    const bytes = Buffer.from(part);
    hash.update(`${bytes.length}:`).update(bytes);
  }
  return hash.digest();
}

function hashPrefixNumber(hash: Buffer): number {
  return hash.readUIntBE(0, HASH_PREFIX_BYTES);
}
