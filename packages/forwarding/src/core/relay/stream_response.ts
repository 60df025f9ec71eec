/** Interprets the response of a server to the request for a stream. */
import {ChunkBuffer} from '@azurecrank/core';
import type {ResponseMetadata, WireCodec} from '../adapter/platform_adapter.js';
import {checkResponse, type InvalidResponse} from './check_response.js';
import type {UpstreamFailure, UpstreamHandlers} from './upstream.js';

/** A complete response other than 200. */
export interface ErrorResponse {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
}

export interface StreamHandlerOptions {
  readonly wire: WireCodec;
  /** Id of the request; a response to another one is invalid. */
  readonly request: string;
  /** Whether the connection may have had an earlier request. */
  readonly mayBeReused: boolean;
  /** @param invalid why the response cannot be that to the request, if so */
  onMetadata(
    metadata: ResponseMetadata,
    invalid: InvalidResponse | undefined,
  ): void;
  /** Called with the headers of a 200. */
  onHead(headers: string[]): void;
  onData(chunk: Buffer): void;
  /**
   * Called at the end of a 200.
   * @param isLengthKnown false if the end of the connection ended the body
   */
  onEnd(isLengthKnown: boolean): void;
  onErrorResponse(response: ErrorResponse): void;
  /** Called if the response cannot be that to the request. */
  onInvalidResponse(reason: InvalidResponse): void;
  onFailure(failure: UpstreamFailure): void;
}

/** Maximum size of an error response, which is kept until it is complete. */
const MAX_ERROR_BYTES = 64 * 1024;

const HTTP_OK = 200;

/** Headers that say where a body ends; without them its connection ends it. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'transfer-encoding',
]);

export function createStreamHandlers(
  options: StreamHandlerOptions,
): UpstreamHandlers {
  let status = 0;
  let headers: string[] = [];
  const errorBody = new ChunkBuffer();
  return {
    onHead: (code, rawHeaders) => {
      status = code;
      headers = [...rawHeaders];
      const metadata = options.wire.parseResponse(code, headers);
      const {request, mayBeReused} = options;
      const invalid = checkResponse(metadata, request, mayBeReused);
      options.onMetadata(metadata, invalid);
      if (invalid) return options.onInvalidResponse(invalid);
      if (code === HTTP_OK) options.onHead(headers);
    },
    onData: chunk => {
      if (status === HTTP_OK) return options.onData(chunk);
      if (errorBody.sizeBytes + chunk.length > MAX_ERROR_BYTES)
        return options.onInvalidResponse('too_large');
      errorBody.push(chunk);
    },
    onEnd: () => {
      if (status === HTTP_OK) return options.onEnd(hasKnownLength(headers));
      const body = errorBody.concat();
      options.onErrorResponse({status, headers, body});
    },
    onFailure: failure => options.onFailure(failure),
  };
}

/** Whether the headers say where the body ends. */
export function hasKnownLength(headers: readonly string[]): boolean {
  return headers.some(
    (name, i) => i % 2 === 0 && FRAMING_HEADERS.has(name.toLowerCase()),
  );
}
