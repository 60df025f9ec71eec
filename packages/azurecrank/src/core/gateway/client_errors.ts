/** Answers malformed requests, and requests whose headers arrive too late. */
import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {refuse, type Logger, type Metrics} from '@azurecrank/core';
import {toProblemBody} from './refusal_sender.js';

const STATUS_TEXT: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
};

/** Time within which the headers of a request must arrive. */
const HEADER_TIMEOUT_MS = 10_000;

/** Connections with late headers are looked for at least this often. */
const MAX_HEADER_CHECK_INTERVAL_MS = 1000;

export function answerClientErrors(
  server: Server,
  metrics: Metrics,
  logger: Logger,
  headerTimeoutMs = HEADER_TIMEOUT_MS,
): void {
  server.headersTimeout = headerTimeoutMs;
  // The setting `body_timeout_ms` limits the time for bodies.
  server.requestTimeout = 0;
  // The interval is an option of the constructor that the types do not declare
  // as a property.
  const connectionsCheckingInterval = Math.min(
    headerTimeoutMs,
    MAX_HEADER_CHECK_INTERVAL_MS,
  );
  Object.assign(server, {connectionsCheckingInterval});
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      return void socket.destroy();
    }
    const isLate = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    const reason = isLate ? 'request_timeout' : 'invalid_request';
    const refusal = refuse(reason, 'accept', {detail: error.message});
    metrics.increment('azurecrank_refusals_total', {reason});
    const {step, ran, detail} = refusal;
    logger.info('request refused', {reason, ran, step, detail});
    writeProblem(socket, toProblemBody(refusal, ''));
  });
}

function writeProblem(socket: Duplex, body: {readonly status: number}): void {
  const text = JSON.stringify(body);
  socket.end(
    `HTTP/1.1 ${body.status} ${STATUS_TEXT[body.status]}\r\n` +
      'content-type: application/problem+json\r\n' +
      `content-length: ${Buffer.byteLength(text)}\r\n` +
      `connection: close\r\n\r\n${text}`,
  );
}
