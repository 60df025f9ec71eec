/** Refuses requests that match no route, with 404 or 405. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestGate} from './request_gate.js';

/** Methods of the known paths, as in the header `allow`. */
const ALLOWED_METHODS: readonly {
  readonly path: RegExp;
  readonly allow: string;
}[] = [
  {path: /^\/v1\/chat\/completions\/?$/, allow: 'POST'},
  {path: /^\/v1\/models(\/[^/]+)?\/?$/, allow: 'GET, HEAD'},
  {path: /^\/(livez|readyz|metrics)\/?$/, allow: 'GET, HEAD'},
];

export function refuseUnmatchedRequest(
  gate: RequestGate,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const path = (req.url ?? '').split('?')[0];
  const found = ALLOWED_METHODS.find(entry => entry.path.test(path));
  gate.handle(req, res, exchange => {
    if (!found) return gate.refuse(exchange, 'unknown_path', {detail: path});
    res.setHeader('allow', found.allow);
    const detail = `${path} allows only ${found.allow}`;
    gate.refuse(exchange, 'method_not_allowed', {detail});
  });
}
