/**
 * A stand-in for a runner whose answers are streams that end with their connection. A part of given
 * length comes at once, then small events; after a time, it ends the stream, or resets the connection.
 */
import * as http from 'node:http';

const { id } = JSON.parse(process.argv[2]);
const bornMs = Date.now();
const EVENT_BYTES = 15_000;
const SMALL_BYTES = 150;
const SMALL_EACH_MS = 10;

/** Tells the parent what has happened. */
function record(event, fields = {}) {
  process.send?.({ event, runner: id, atMs: Date.now(), ...fields });
}

/** Builds an event of a given length. */
function buildEvent(serial, length) {
  const start = `id: ${serial}\ndata: `;
  return `${start}${'x'.repeat(length - start.length - 2)}\n\n`;
}

/** Answers with a stream: the part that comes at once, then small events until its time is over. */
function sendStream(request, response) {
  const { headers } = request;
  const attempt = headers['x-toucanproxy-attempt-id'];
  const firstBytes = Number(headers['x-test-first-bytes']);
  record('run', { attempt });
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    'X-Toucanproxy-Attempt-Id': attempt,
    'X-Toucanproxy-Response-Signature': 'stream',
    'Content-Type': 'text/event-stream',
    Connection: 'close',
  });
  let serial = 0;
  let bytes = 0;
  const write = (length) => {
    serial += 1;
    bytes += length;
    response.write(buildEvent(serial, length));
  };
  while (bytes + EVENT_BYTES <= firstBytes) {
    write(EVENT_BYTES);
  }
  const timer = setInterval(() => write(SMALL_BYTES), SMALL_EACH_MS);
  response.on('close', () => clearInterval(timer));
  setTimeout(() => {
    clearInterval(timer);
    const isReset = headers['x-test-reset'] === '1';
    record(isReset ? 'resets' : 'ends', { attempt, events: serial, bytes });
    if (isReset) {
      response.socket?.resetAndDestroy();
    } else {
      response.end();
    }
  }, Number(headers['x-test-end-ms']));
}

const server = http.createServer((request, response) => {
  response.on('error', () => {});
  request.resume();
  request.on('end', () => {
    const expected = request.headers['x-toucanproxy-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Toucanproxy-Not-Executed': '1', 'Content-Length': '0' });
      response.end();
    } else if (request.url === '/api/report') {
      const body = JSON.stringify({ stage: 'both', models: [], busy: false, born: bornMs });
      response.writeHead(200, { 'Content-Length': body.length });
      response.end(body);
    } else {
      sendStream(request, response);
    }
  });
});
server.listen(0, '127.0.0.1', () => record('started', { port: server.address().port, bornMs }));
process.on('disconnect', () => process.exit(0));
