/** A stand-in for a runner, and a link to it that can be cut. */
import * as net from 'node:net';

const HEAD_END = '\r\n\r\n';
const EVENT_COUNT = 20;

/** Parses the first request of received text; undefined while it is incomplete. */
function parseRequest(text) {
  const end = text.indexOf(HEAD_END);
  if (end === -1) {
    return undefined;
  }
  const [requestLine, ...lines] = text.slice(0, end).split('\r\n');
  const pairs = lines.map((line) => {
    const at = line.indexOf(':');
    return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
  });
  const headers = new Map(pairs);
  const length = Number(headers.get('content-length') ?? 0);
  const bodyAt = end + HEAD_END.length;
  return text.length < bodyAt + length
    ? undefined
    : { requestLine, headers, rest: text.slice(bodyAt + length) };
}

/** Builds the head of a response that names its request and is signed. */
export function buildHead(request, lines, status = '200 OK') {
  const id = request.headers.get('x-toucanproxy-attempt-id');
  return [
    `HTTP/1.1 ${status}`,
    `X-Toucanproxy-Attempt-Id: ${id}`,
    `X-Toucanproxy-Response-Signature: s.${id}`,
    ...lines,
    HEAD_END.slice(2),
  ].join('\r\n');
}

/**
 * Starts a runner's process: a server with a start of its own.
 *
 * @param serve called with each request and its connection
 * @param reportMs time after which it answers a call for its report, milliseconds
 */
export async function startRunner({ serve, reportMs = 0 }) {
  const runner = { bornMs: Date.now(), sockets: new Set(), runs: [] };
  const answerReport = (socket) => {
    const body = JSON.stringify({ born: runner.bornMs, stage: 'both', queued: 0, active: 0 });
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}${HEAD_END}${body}`);
  };
  const server = net.createServer({ noDelay: true }, (socket) => {
    let text = '';
    runner.sockets.add(socket);
    socket.on('close', () => runner.sockets.delete(socket));
    socket.on('error', () => {});
    socket.on('data', (data) => {
      text += data.toString('latin1');
      const request = parseRequest(text);
      if (request === undefined) {
        return;
      }
      text = request.rest;
      if (request.requestLine.startsWith('GET /api/report ')) {
        setTimeout(answerReport, reportMs, socket);
        return;
      }
      runner.runs.push({ id: request.headers.get('x-toucanproxy-attempt-id'), atMs: Date.now() });
      serve(request, socket);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return Object.assign(runner, {
    port: server.address().port,
    /** Crashes: closes the port, and all connections as the system does for a process that ends. */
    crash: () => {
      server.close();
      runner.sockets.forEach((socket) => socket.destroySoon());
    },
  });
}

/** Sends the parts of an answer at an interval, then ends it. */
export function sendParts(socket, { from = 0, everyMs, buildPart, end }) {
  const sendNext = (number) => {
    if (socket.destroyed || socket.writableEnded) {
      return;
    }
    socket.write(buildPart(number));
    if (number === EVENT_COUNT) {
      end();
    } else {
      setTimeout(sendNext, everyMs, number + 1);
    }
  };
  sendNext(from + 1);
}

/**
 * Starts a link to a runner. While it is cut, nothing passes in either direction, and nothing is lost:
 * what the systems at both ends would send again arrives once the cut has ended.
 */
export async function startLink(first) {
  const pairs = new Set();
  const link = { target: first, isCut: false };
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = net.connect({ port: link.target.port, host: '127.0.0.1', allowHalfOpen: true });
    const pair = { near, far, held: [], hasEnded: false };
    pairs.add(pair);
    [near, far].forEach((socket) => socket.on('error', () => {}));
    near.on('data', (data) => (link.isCut ? undefined : far.write(data)));
    near.on('end', () => (link.isCut ? undefined : far.end()));
    near.on('close', () => {
      pairs.delete(pair);
      far.destroy();
    });
    far.on('data', (data) => (link.isCut ? pair.held.push(data) : near.write(data)));
    far.on('end', () => {
      pair.hasEnded = true;
      if (!link.isCut) {
        near.end();
      }
    });
    far.on('close', (hadError) => (hadError && !link.isCut ? near.resetAndDestroy() : undefined));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return Object.assign(link, {
    port: server.address().port,
    cut: () => {
      link.isCut = true;
    },
    /** Ends the cut; what was held up arrives. */
    heal: () => {
      link.isCut = false;
      pairs.forEach(({ near, held, hasEnded }) => {
        held.splice(0).forEach((data) => near.write(data));
        if (hasEnded) {
          near.end();
        }
      });
    },
    /** Forgets what was held up: its sender has lost it. */
    dropHeld: () => pairs.forEach((pair) => Object.assign(pair, { held: [], hasEnded: false })),
  });
}

/** Builds the store entry of a runner. */
export function buildEntry(runner, port, changes = {}) {
  return {
    service: 'one',
    address: `127.0.0.1:${port}`,
    zone: 'zone-0',
    version: 'v1',
    slots: 10,
    state: 'ready',
    coldRemainingMs: 0,
    sequence: 0,
    born: runner.bornMs,
    ...changes,
  };
}
