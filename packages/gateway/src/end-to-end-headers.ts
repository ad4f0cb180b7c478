/** Headers that go on beyond one connection (RFC 9110, section 7.6.1). */
import type * as wireProtocol from './wire-protocol.js';

/**
 * Headers that concern one connection, or the form of a body that this process
 * frames anew. `expect` is answered here.
 */
const CONNECTION_HEADERS = new Set([
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

/** Lists the names that `Connection` headers declare for this connection only. */
function listDeclared(headers: wireProtocol.RawHeaders): Set<string> {
  const names = headers.flatMap((name, index) =>
    index % 2 === 0 && name.toLowerCase() === 'connection' ? headers[index + 1].split(',') : [],
  );
  return new Set(names.map((name) => name.trim().toLowerCase()));
}

/** Lists the headers that are to be passed on, names and values by turns. */
export function listEndToEnd(headers: wireProtocol.RawHeaders): wireProtocol.RawHeaders {
  const declared = listDeclared(headers);
  return headers.filter((_, index) => {
    const name = headers[index - (index % 2)].toLowerCase();
    return !CONNECTION_HEADERS.has(name) && !declared.has(name);
  });
}

/** Finds the value of a header by its name in lower case. */
export function findHeader(headers: wireProtocol.RawHeaders, name: string): string | undefined {
  const index = headers.findIndex((one, at) => at % 2 === 0 && one.toLowerCase() === name);
  return index === -1 ? undefined : headers[index + 1];
}

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Tells whether an answer says where it ends, other than by its connection's end. */
export function isFramed(status: number, headers: wireProtocol.RawHeaders): boolean {
  return (
    status === STATUS_NO_CONTENT ||
    status === STATUS_NOT_MODIFIED ||
    findHeader(headers, 'content-length') !== undefined ||
    findHeader(headers, 'transfer-encoding') !== undefined
  );
}
