import {describe, it} from 'node:test';
import {toId, type WorkspaceId} from '@azurecrank/core';
import {digestOf, scopeOf, scopeOfDigest} from '@azurecrank/forwarding';
import {expect} from 'earl';

const REQUEST = {
  workspace: toId<WorkspaceId>('works'),
  method: 'POST',
  host: 'shop.example',
  target: '/desk/1?a=1',
  body: Buffer.from('{"nets": 4}'),
};

describe('the digest of a request', () => {
  it('is the same for the same request', () => {
    const again = {...REQUEST, body: Buffer.from('{"nets": 4}')};
    expect(digestOf(again)).toEqual(digestOf(REQUEST));
  });

  it('differs with the caller, method, host, target or body', () => {
    const others = [
      {...REQUEST, workspace: toId<WorkspaceId>('other')},
      {...REQUEST, workspace: undefined},
      {...REQUEST, method: 'PUT'},
      {...REQUEST, host: 'other.example'},
      {...REQUEST, target: '/desk/1?a=2'},
      {...REQUEST, body: Buffer.from('{"nets": 5}')},
      {...REQUEST, body: undefined},
    ];
    const digests = [REQUEST, ...others].map(digestOf);
    expect(new Set(digests).size).toEqual(digests.length);
  });

  it('begins with a scope that does not depend on the content of the body', () => {
    const other = {...REQUEST, body: Buffer.from('{"nets": 5}')};
    expect(scopeOf(other)).toEqual(scopeOf(REQUEST));
    expect(scopeOfDigest(digestOf(REQUEST))).toEqual(scopeOf(REQUEST));
  });
});
