/**
 * The calls that a connection has carried, to tell a further response to one of them from the body
 * of another.
 */
import * as runtime from '@toucanproxy/runtime';
import type * as wireProtocol from './wire-protocol.js';

/** Finds the id of the call that a response states; undefined if it states none. */
export type FindAttemptId = (
  status: number,
  headers: wireProtocol.RawHeaders,
) => string | undefined;

export type CarriedCalls = {
  findAttemptId: FindAttemptId;
  /** Beginnings of the ids of the last calls. */
  ids: Set<string>;
  /** Heads of responses that state no id, such as that to a call for the server's report. */
  plainHeads: Set<string>;
};

/** Number of calls to which a connection may still bring a further response. */
const MAX_IDS = 64;
/** Number of different heads without an id that are known. */
const MAX_PLAIN_HEADS = 4;
/** Compared part of an id; characters. */
const MAX_ID_LENGTH = 64;

/** Creates the record of a new connection. */
export function createCarriedCalls(findAttemptId: FindAttemptId): CarriedCalls {
  return { findAttemptId, ids: new Set(), plainHeads: new Set() };
}

/** Describes a head by its status and the names of its headers. */
function describeHead(status: number, headers: wireProtocol.RawHeaders): string {
  const names = headers.filter((_, at) => at % 2 === 0);
  return [status, ...names].join(' ').toLowerCase();
}

/** Records that a call was sent. */
export function recordCall(calls: CarriedCalls, attemptId: string): void {
  calls.ids.add(attemptId.slice(0, MAX_ID_LENGTH));
  if (calls.ids.size > MAX_IDS) {
    const [oldest] = calls.ids;
    calls.ids.delete(oldest);
  }
}

/** Records the head of a response to a call without an id, unless it states one. */
export function recordPlainHead(
  { plainHeads, findAttemptId }: CarriedCalls,
  status: number,
  headers: wireProtocol.RawHeaders,
): void {
  if (plainHeads.size < MAX_PLAIN_HEADS && findAttemptId(status, headers) === undefined) {
    plainHeads.add(describeHead(status, headers));
  }
}

/** Returns whether one of the last calls had this id. */
export function hasCarried({ ids }: CarriedCalls, attemptId: string): boolean {
  return ids.has(attemptId.slice(0, MAX_ID_LENGTH));
}

/**
 * Judges a head inside a body by the id that it states. An id that was sent on the connection proves a
 * further response; another one may be quoted in a body. Without an id, only a head like that of a
 * response that stated none before may begin one.
 */
export function judgeHead(
  calls: CarriedCalls,
  status: number,
  headers: wireProtocol.RawHeaders,
): runtime.HeadVerdict {
  const { BODY, RESPONSE, UNCERTAIN } = runtime.HeadVerdict;
  const attemptId = calls.findAttemptId(status, headers);
  if (attemptId === undefined) {
    return calls.plainHeads.has(describeHead(status, headers)) ? UNCERTAIN : BODY;
  }
  return hasCarried(calls, attemptId) ? RESPONSE : BODY;
}
