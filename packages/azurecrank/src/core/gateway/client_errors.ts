/** Answers what is not HTTP, or whose head does not arrive in time. */
import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {refuse, type Logger, type Metrics} from '@azurecrank/core';
import {toProblemBody} from './refusal_sender.js';

const STATUS_TEXT: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
};

/** Time within which the head of a request must arrive. */
const HEAD_TIMEOUT_MS = 10_000;

/** How often late heads are looked for. */
const CHECK_PERIOD_MS = 1000;

export function answerClientErrors(
  server: Server,
  metrics: Metrics,
  logger: Logger,
  headTimeoutMs = HEAD_TIMEOUT_MS,
): void {
  server.headersTimeout = headTimeoutMs;
  // Bodies have their own limit, see `body_timeout_ms`.
  server.requestTimeout = 0;
  // The period is an option of the constructor that the types do not show.
  const connectionsCheckingInterval = Math.min(headTimeoutMs, CHECK_PERIOD_MS);
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
