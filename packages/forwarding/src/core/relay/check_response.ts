/** Checks whether a response can be that to the request it arrived for. Pure. */
import type {ResponseMetadata} from '../adapter/platform_adapter.js';

/** Why a response is discarded; also the labels of its counter. */
export type InvalidResponse =
  | 'other_request'
  | 'no_request_id'
  | 'other_media_type'
  | 'not_an_event'
  | 'too_large'
  | 'buffers_full';

export const INVALID_RESPONSE_CAUSES: Readonly<
  Record<InvalidResponse, string>
> = {
  other_request: 'response carries the id of another request',
  no_request_id: 'response on a reused connection carries no request id',
  other_media_type: 'response has another media type than the stream',
  not_an_event: 'response contains bytes that are no event of the stream',
  too_large: 'response exceeds its maximum size',
  buffers_full: 'largest of the responses that exceed the memory for them',
};

/**
 * Returns why the response cannot be trusted; undefined if it can. Servers may
 * write an earlier response once more on a connection that is reused, and only
 * the request id tells the two apart. On a new connection nothing is earlier.
 * @param mayBeReused whether the connection may have had an earlier request
 */
export function checkResponse(
  {request}: Pick<ResponseMetadata, 'request'>,
  sentRequest: string,
  mayBeReused: boolean,
): InvalidResponse | undefined {
  if (request === sentRequest) return undefined;
  if (request !== '') return 'other_request';
  return mayBeReused ? 'no_request_id' : undefined;
}

/**
 * Returns the cause of failing a request that must not run twice: to its caller
 * the status would state that it has not run, which its server did not.
 */
export function unconfirmedRefusal(status: number): string {
  return `status ${status} without a statement that the request has not run`;
}

/** Returns the media type without parameters; empty if it is not stated. */
export function mediaType(headers: readonly string[]): string {
  const at = headers.findIndex(
    (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-type',
  );
  return at < 0 ? '' : headers[at + 1].split(';')[0].trim().toLowerCase();
}
