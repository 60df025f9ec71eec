/* global console, process, setTimeout */
/**
 * Process of a server of a plain service. Its argument is a JSON object:
 * `port`, `id`, `service`, `workMs` (work before the first byte), `bodyMs` (time
 * between the first and the second half of the body) and `isFramed`. Prints a
 * line for each request that it runs.
 */
import {createServer} from 'node:http';

const options = JSON.parse(process.argv[2]);
const {port, id, service, workMs = 20, bodyMs = 0, isFramed = true} = options;

let runs = 0;

/** The whole body of an answer; requesters can tell it from a part. */
function bodyOf(request, run) {
  const head = JSON.stringify({request, service, server: id, run});
  return `${head}${'.'.repeat(800)}END`;
}

function sleep(ms) {
  return new Promise(done => setTimeout(done, ms));
}

async function serve(req, res) {
  for await (const chunk of req) void chunk;
  if (req.url === '/health') {
    res.writeHead(200, {'Azurecrank-Instance-Id': id});
    return res.end();
  }
  const request = req.headers['azurecrank-request-id'];
  if (request === undefined) {
    res.writeHead(400, {'Azurecrank-Not-Executed': '1'});
    return res.end();
  }
  const headers = {'Azurecrank-Request-Id': request};
  const expected = req.headers['azurecrank-expect-instance'];
  if (expected !== undefined && expected !== id) {
    res.writeHead(421, {...headers, 'Azurecrank-Not-Executed': '1'});
    return res.end();
  }
  const run = `${id}.${++runs}`;
  const tenant = req.headers['azurecrank-tenant'] ?? '';
  console.log(`run ${request} ${service} ${run} tenant=${tenant}`);
  await sleep(workMs);
  const body = bodyOf(request, run);
  const half = body.length / 2;
  headers['Azurecrank-Response-Seal'] = `seal.${run}`;
  headers['Content-Type'] = 'application/json';
  if (isFramed) {
    headers['Content-Length'] = body.length;
  } else {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
  }
  res.writeHead(200, headers);
  res.write(body.slice(0, half));
  if (bodyMs > 0) await sleep(bodyMs);
  res.end(body.slice(half));
}

createServer((req, res) => {
  serve(req, res).catch(() => res.destroy());
}).listen(port, '127.0.0.1', () => console.log('listening'));
