/** A client: it sends one request on a connection of its own and tells what it has seen of the answer. */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as url from 'node:url';

const HEAD_END = '\r\n\r\n';
const SLOW_LINK = url.fileURLToPath(new URL('./slow-link.pl', import.meta.url));

/** Parses the head of an answer. */
function parseHead(text) {
  const [line, ...lines] = text.split('\r\n');
  const headers = Object.fromEntries(
    lines.map((one) => {
      const at = one.indexOf(':');
      return [one.slice(0, at).toLowerCase(), one.slice(at + 1).trim()];
    }),
  );
  return { status: Number(line.split(' ')[1]), headers };
}

/** Decodes chunks; the answer is whole if the last one has come. */
function decodeChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const end = bytes.indexOf('\r\n', at, 'latin1');
    const size = end === -1 ? NaN : parseInt(bytes.toString('latin1', at, end), 16);
    if (Number.isNaN(size) || end + 2 + size > bytes.length) {
      return { body: Buffer.concat(parts), isWhole: false };
    }
    if (size === 0) {
      return { body: Buffer.concat(parts), isWhole: true };
    }
    parts.push(bytes.subarray(end + 2, end + 2 + size));
    at = end + 2 + size + 2;
  }
}

/** Reads an answer as RFC 9112 has it; undefined while there is no head. */
function readAnswer(bytes, isEnded) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd === -1) {
    return undefined;
  }
  const { status, headers } = parseHead(bytes.toString('latin1', 0, headEnd));
  const rest = bytes.subarray(headEnd + HEAD_END.length);
  if (headers['transfer-encoding'] === 'chunked') {
    return { status, headers, framing: 'chunked', ...decodeChunks(rest) };
  }
  const length = headers['content-length'];
  if (length !== undefined) {
    const isWhole = rest.length >= Number(length);
    return { status, headers, framing: 'length', body: rest, isWhole };
  }
  return { status, headers, framing: 'until-close', body: rest, isWhole: isEnded };
}

/** Builds the bytes of a request. */
function buildRequest({ method = 'POST', target, headers, body = 'body' }) {
  const lines = [
    `${method} ${target} HTTP/1.1`,
    'Host: ficu95.example',
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return `${lines.join('\r\n')}${HEAD_END}${body}`;
}

/** Describes what a client has seen. */
function describeAnswer(gateway, headers, sentMs, { bytes, isEnded, error }) {
  const answer = readAnswer(bytes, isEnded);
  const signature = answer?.headers['x-toucanproxy-response-signature'];
  const hash = crypto
    .createHash('sha256')
    .update(answer?.body ?? '')
    .digest('hex');
  return {
    attempt: headers['X-Toucanproxy-Attempt-Id'],
    gateway: gateway.name,
    sentMs,
    ms: Date.now() - sentMs,
    status: answer?.status ?? 0,
    framing: answer?.framing,
    looksComplete: answer?.isWhole === true,
    isSigned: signature !== undefined,
    isWholeBody: signature === hash,
    bytes: answer?.body.length ?? 0,
    error,
  };
}

/**
 * Sends a request. The result has the status (0 without an answer), whether the answer looks complete,
 * and whether its body is the one that the runner has signed.
 */
export function send(gateway, request) {
  const sentMs = Date.now();
  return new Promise((resolve) => {
    const parts = [];
    let error = '';
    const socket = net.connect({ host: gateway.host, port: gateway.frontendPort });
    const settle = (isEnded) => {
      socket.destroy();
      const seen = { bytes: Buffer.concat(parts), isEnded, error };
      resolve(describeAnswer(gateway, request.headers, sentMs, seen));
    };
    socket.on('connect', () => socket.write(buildRequest(request)));
    socket.on('data', (part) => {
      parts.push(part);
      if (readAnswer(Buffer.concat(parts), false)?.isWhole) {
        settle(false);
      }
    });
    socket.on('end', () => settle(true));
    socket.on('error', (reason) => {
      error = reason.code;
      settle(false);
    });
  });
}

/**
 * Sends a request over a slow link with the segments of Ethernet; the result is that of `send`.
 *
 * @param chokedMs how long the link passes no answer at first, milliseconds
 * @param noteFirst called when the first bytes of the answer have come
 */
export function sendOverSlowLink(
  gateway,
  request,
  { bytesPerSecond, chokedMs = 0, noteFirst = () => {} },
) {
  const sentMs = Date.now();
  const { host, frontendPort } = gateway;
  const args = [SLOW_LINK, host, frontendPort, bytesPerSecond, chokedMs / 1000].map(String);
  const link = childProcess.spawn('perl', args, { stdio: ['pipe', 'pipe', 'inherit'] });
  link.stdin.end(buildRequest(request));
  return new Promise((resolve, reject) => {
    const parts = [];
    link.stdout.once('data', noteFirst);
    link.stdout.on('data', (part) => parts.push(part));
    link.on('error', reject);
    link.on('close', (code) => {
      if (code !== 0 && code !== 1) {
        reject(new Error(`the link ended with ${code}`));
        return;
      }
      const error = code === 1 ? 'reset' : '';
      const seen = { bytes: Buffer.concat(parts), isEnded: code === 0, error };
      resolve(describeAnswer(gateway, request.headers, sentMs, seen));
    });
  });
}
