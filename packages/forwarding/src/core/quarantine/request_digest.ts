/**
 * Tells whether requests are the same but for their ids: same caller, method,
 * host, target and body. Pure.
 */
import {createHash} from 'node:crypto';
import type {Branded, WorkspaceId} from '@azurecrank/core';

/** Digest of a whole request, in base64url. */
export type RequestDigest = Branded<string, 'RequestDigest'>;

/** Digest of a request without the content of its body, in base64url. */
export type RequestScope = Branded<string, 'RequestScope'>;

export interface DigestedRequest {
  /** Undefined for an anonymous caller. */
  readonly workspace: WorkspaceId | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer | undefined;
}

const SCOPE_CHARS = 10;
const BODY_CHARS = 10;
const NO_BODY = Buffer.alloc(0);

/** Costs the same for a body of any size. */
export function scopeOf(request: DigestedRequest): RequestScope {
  const {workspace, method, host, target, body} = request;
  const bodyBytes = body?.length ?? 0;
  const fields = [workspace ?? '', method, host, target, bodyBytes];
  return digest(JSON.stringify(fields), SCOPE_CHARS) as RequestScope;
}

export function digestOf(request: DigestedRequest): RequestDigest {
  const body = digest(request.body ?? NO_BODY, BODY_CHARS);
  return (scopeOf(request) + body) as RequestDigest;
}

/** Returns the scope that a digest begins with. */
export function scopeOfDigest(requestDigest: RequestDigest): RequestScope {
  return requestDigest.slice(0, SCOPE_CHARS) as string as RequestScope;
}

function digest(data: string | Buffer, chars: number): string {
  return createHash('sha256').update(data).digest('base64url').slice(0, chars);
}
