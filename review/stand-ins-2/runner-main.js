/**
 * A stand-in for a runner, as a process of its own: PROTOCOL.md, "Runners". It tells its parent what
 * arrived and what it ran. Headers of a request that begin with `x-test-` choose what it does.
 */
import * as crypto from 'node:crypto';
import * as http from 'node:http';

const { id, weights = 1 } = JSON.parse(process.argv[2]);
const bornMs = Date.now();

/** Tells the parent what has happened. */
function record(event, fields = {}) {
  process.send?.({ event, runner: id, atMs: Date.now(), ...fields });
}

/** Signs a body, so that clients can tell whether they have the whole of it. */
function hashBody(body) {
  return crypto.createHash('sha256').update(body).digest('hex');
}

/** Answers that the request was not run. */
function refuse(request, response, status) {
  const attempt = request.headers['x-toucanproxy-attempt-id'];
  response.writeHead(status, {
    ...(attempt === undefined ? {} : { 'X-Toucanproxy-Attempt-Id': attempt }),
    'X-Toucanproxy-Not-Executed': '1',
    'Content-Length': '0',
  });
  response.end();
}

/** Sends the answer in parts that are spread over the time of the work. */
function sendParts(response, parts, gapMs) {
  const [part, ...left] = parts;
  if (left.length === 0) {
    response.end(part);
    return;
  }
  response.write(part);
  setTimeout(() => sendParts(response, left, gapMs), gapMs);
}

/** Runs a request and answers it. */
function run(request, response, text) {
  const { headers } = request;
  const attempt = headers['x-toucanproxy-attempt-id'];
  const workMs = Number(headers['x-test-work-ms'] ?? 20);
  const size = Number(headers['x-test-size'] ?? 800);
  const isUnframed = headers['x-test-unframed'] === '1';
  const body = `${attempt} `.repeat(Math.ceil(size / (attempt.length + 1))).slice(0, size);
  record('run', {
    attempt,
    tenant: headers['x-toucanproxy-tenant'],
    path: request.url,
    isPoison: text === 'poison',
  });
  if (text === 'poison') {
    // The process ends as one does that crashes; the system closes its connections.
    process.exit(1);
  }
  const head = {
    'X-Toucanproxy-Attempt-Id': attempt,
    'X-Toucanproxy-Response-Signature': hashBody(body),
    'X-Toucanproxy-Weight-Versions': String(weights),
    'Content-Type': 'text/plain',
  };
  if (!isUnframed) {
    setTimeout(() => {
      response.writeHead(200, { ...head, 'Content-Length': String(size) });
      response.end(body);
      record('answered', { attempt, bytes: size });
    }, workMs);
    return;
  }
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, { ...head, Connection: 'close' });
  const partBytes = Math.ceil(size / 4);
  const parts = [0, 1, 2, 3].map((at) => body.slice(at * partBytes, (at + 1) * partBytes));
  response.on('finish', () => record('answered', { attempt, bytes: size }));
  sendParts(response, parts, workMs / 4);
}

/** Handles one request that has been read. */
function handleRequest(request, response, text) {
  const { headers, url } = request;
  const expected = headers['x-toucanproxy-expect-instance'];
  const version = headers['x-toucanproxy-expect-version'];
  if (expected !== undefined && expected !== id) {
    refuse(request, response, 421);
  } else if (url === '/api/report') {
    const models = [{ name: 'm', version: weights, adapters: [] }];
    const body = JSON.stringify({ stage: 'both', models, busy: false, born: bornMs });
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': body.length });
    response.end(body);
  } else if (url === '/healthz') {
    response.writeHead(200, { 'X-Toucanproxy-Instance-Id': id, 'Content-Length': '0' });
    response.end();
  } else if (headers['x-toucanproxy-attempt-id'] === undefined) {
    refuse(request, response, 400);
  } else if (version !== undefined && Number(version) !== weights) {
    record('refused-version', { attempt: headers['x-toucanproxy-attempt-id'], version });
    refuse(request, response, 421);
  } else {
    run(request, response, text);
  }
}

const server = http.createServer((request, response) => {
  const parts = [];
  request.on('data', (part) => parts.push(part));
  request.on('end', () => handleRequest(request, response, Buffer.concat(parts).toString()));
  response.on('error', () => {});
});
server.keepAliveTimeout = 10_000;
server.listen(0, '127.0.0.1', () => record('started', { port: server.address().port, bornMs }));
process.on('disconnect', () => process.exit(0));
