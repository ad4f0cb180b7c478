/**
 * Separates end-to-end headers, which are forwarded, from hop-by-hop headers (RFC 9110, section
 * 7.6.1).
 */
import type * as wireProtocol from './wire-protocol.js';

/**
 * Headers that apply to one connection only, or to the framing of the body, which this process
 * generates itself. The gateway handles `expect` itself instead of forwarding it.
 */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Lists the headers that `Connection` headers declare to be hop-by-hop. */
function listConnectionOptions(headers: wireProtocol.RawHeaders): Set<string> {
  const names = headers.flatMap((name, index) =>
    index % 2 === 0 && name.toLowerCase() === 'connection' ? headers[index + 1].split(',') : [],
  );
  return new Set(names.map((name) => name.trim().toLowerCase()));
}

/** Lists the headers to forward, names and values alternating. */
export function listEndToEnd(headers: wireProtocol.RawHeaders): wireProtocol.RawHeaders {
  const connectionOptions = listConnectionOptions(headers);
  return headers.filter((_, index) => {
    const name = headers[index - (index % 2)].toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.has(name);
  });
}

/** Finds the first value of a header; `name` is in lower case. */
export function findHeader(headers: wireProtocol.RawHeaders, name: string): string | undefined {
  const index = headers.findIndex((part, at) => at % 2 === 0 && part.toLowerCase() === name);
  return index === -1 ? undefined : headers[index + 1];
}

/** How the end of a response body is marked (RFC 9112, section 6.3). */
export enum BodyFraming {
  LENGTH = 'length',
  CHUNKED = 'chunked',
  /** The body ends with the connection; a body that was cut short looks the same. */
  UNTIL_CLOSE = 'until-close',
}

const CHUNKED = 'chunked';
/** Transfer codings after which the body is that of the server. */
const DECODED_CODINGS: ReadonlySet<string> = new Set([CHUNKED, 'identity']);
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Lists the items of all values of a header, in lower case; `name` is in lower case. */
export function listItems(headers: wireProtocol.RawHeaders, name: string): string[] {
  return headers
    .filter((_, at) => at % 2 === 1 && headers[at - 1].toLowerCase() === name)
    .flatMap((value) => value.split(','))
    .map((item) => item.trim().toLowerCase());
}

/**
 * Finds the transfer codings as the HTTP parser reads them, in lower case: it leaves out spaces around
 * them, but no other white space, and takes a coding that it does not know for the body.
 */
function findTransferCoding(headers: wireProtocol.RawHeaders): string | undefined {
  const values = headers.filter(
    (_, at) => at % 2 === 1 && headers[at - 1].toLowerCase() === 'transfer-encoding',
  );
  return values.length === 0
    ? undefined
    : values.join().toLowerCase().replace(/^ +/, '').replace(/ +$/, '');
}

/** Returns whether the bytes of a body that the HTTP parser passes on are in a coding. */
export function isCoded(headers: wireProtocol.RawHeaders): boolean {
  const coding = findTransferCoding(headers);
  return (
    findHeader(headers, 'content-encoding') !== undefined ||
    (coding !== undefined && !DECODED_CODINGS.has(coding))
  );
}

/** Detects how the end of a response body is marked. */
export function detectFraming(status: number, headers: wireProtocol.RawHeaders): BodyFraming {
  const coding = findTransferCoding(headers);
  if (coding !== undefined) {
    return coding === CHUNKED ? BodyFraming.CHUNKED : BodyFraming.UNTIL_CLOSE;
  }
  return status === STATUS_NO_CONTENT ||
    status === STATUS_NOT_MODIFIED ||
    findHeader(headers, 'content-length') !== undefined
    ? BodyFraming.LENGTH
    : BodyFraming.UNTIL_CLOSE;
}
