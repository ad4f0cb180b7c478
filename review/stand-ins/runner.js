/**
 * Stand-in for a runner, as a process of its own. Its only argument is a JSON object:
 *
 * - `id`, `port`: who it is and where it listens
 * - `version`: version of its software, which it writes into each event
 * - `eventMs`, `events`: a stream has so many events, one in each `eventMs`
 * - `workMs`: how long a plain request runs
 * - `kvCapacity`: its memory, tokens; a larger request is rejected as if it were full
 * - `isHeld`: it begins to listen on SIGUSR2, so that the time of its start is exact
 *
 * It prints one JSON line for each start and end of a run. SIGTERM ends it.
 */
import * as http from 'node:http';

const options = JSON.parse(process.argv[2]);
const { id, port, version = 'v1', eventMs = 100, events = 10, workMs = 100 } = options;
const { kvCapacity = Infinity, isHeld = false } = options;
let bornMs = 0;

/** Prints what has happened. */
function report(fields) {
  process.stdout.write(`${JSON.stringify({ runner: id, version, ...fields })}\n`);
}

/** Builds the headers that every answer has. */
function buildHeaders(attempt) {
  return { 'X-Toucanproxy-Attempt-Id': attempt };
}

/** Answers that the request has not run. */
function rejectRequest(response, status, attempt) {
  response.writeHead(status, {
    ...buildHeaders(attempt),
    'X-Toucanproxy-Not-Executed': '1',
    'Content-Length': '0',
  });
  response.end();
}

/** Runs a stream: one event at a time, numbered from 1, after `Last-Event-Id` if it is given. */
function runStream(request, response, attempt) {
  const after = Number(request.headers['last-event-id'] ?? 0);
  response.writeHead(200, {
    ...buildHeaders(attempt),
    'X-Toucanproxy-Response-Signature': `${id}.${attempt}`,
    'Content-Type': 'text/event-stream',
  });
  let number = after;
  const timer = setInterval(() => {
    number += 1;
    response.write(`id: ${number}\ndata: ${version} of ${attempt}\n\n`);
    if (number >= events) {
      clearInterval(timer);
      response.end();
      report({ kind: 'ended', attempt });
    }
  }, eventMs);
  response.on('close', () => clearInterval(timer));
}

/** Runs a plain request. */
function runPlain(response, attempt) {
  const body = `answer to ${attempt}`;
  const timer = setTimeout(() => {
    response.writeHead(200, {
      ...buildHeaders(attempt),
      'X-Toucanproxy-Response-Signature': `${id}.${attempt}`,
      'Content-Length': String(body.length),
    });
    response.end(body);
    report({ kind: 'ended', attempt });
  }, workMs);
  response.on('close', () => clearTimeout(timer));
}

/** Handles a request whose body has been read. */
function handleRequest(request, response) {
  const attempt = request.headers['x-toucanproxy-attempt-id'] ?? '';
  const expected = request.headers['x-toucanproxy-expect-instance'];
  if (expected !== undefined && expected !== id) {
    rejectRequest(response, 421, attempt);
    return;
  }
  if (request.url === '/api/report') {
    const body = JSON.stringify({ stage: 'both', models: [], busy: false, born: bornMs });
    response.writeHead(200, { 'Content-Length': body.length });
    response.end(body);
    return;
  }
  const usage = (request.headers['x-toucanproxy-token-usage'] ?? '0,0').split(',').map(Number);
  if (usage[0] + usage[1] > kvCapacity) {
    report({ kind: 'rejected', attempt });
    rejectRequest(response, 503, attempt);
    return;
  }
  report({ kind: 'began', attempt, path: request.url });
  if (request.url.startsWith('/stream')) {
    runStream(request, response, attempt);
  } else {
    runPlain(response, attempt);
  }
}

const server = http.createServer((request, response) => {
  request.resume();
  request.on('end', () => handleRequest(request, response));
});
server.keepAliveTimeout = 30_000;
process.on('SIGTERM', () => process.exit(0));

/** Begins to serve. */
function startServing() {
  bornMs = Date.now();
  server.listen(port, '127.0.0.1', () => report({ kind: 'started', bornMs }));
}

if (isHeld) {
  // A handler of signals alone would not keep the process running.
  const timer = setInterval(() => {}, 1000);
  process.on('SIGUSR2', () => {
    clearInterval(timer);
    startServing();
  });
  report({ kind: 'held' });
} else {
  startServing();
}
