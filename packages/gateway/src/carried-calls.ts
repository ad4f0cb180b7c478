/**
 * The calls that a connection has carried, to tell a further response to one of them from the body
 * of another.
 */
import * as crypto from 'node:crypto';
import * as runtime from '@toucanproxy/runtime';
import type * as wireProtocol from './wire-protocol.js';

/** Finds the id of the call that a response states; undefined if it states none. */
export type FindAttemptId = (
  status: number,
  headers: wireProtocol.RawHeaders,
) => string | undefined;

export type CarriedCalls = {
  findAttemptId: FindAttemptId;
  /** Ids of all calls; of a long one its digest. */
  ids: Set<string>;
  /** What is kept of the id of the present call; undefined if it has none. */
  presentId: string | undefined;
  /** Heads of responses that state no id, such as that to a call for the server's report. */
  plainHeads: Set<string>;
};

/** Number of calls that a connection carries, to limit the memory for their ids. */
const MAX_CALLS = 256;
/** Number of different heads without an id that are known. */
const MAX_PLAIN_HEADS = 4;
/** A longer id is kept as its digest, to limit the memory; characters. */
const MAX_ID_LENGTH = 64;

/** Creates the record of a new connection. */
export function createCarriedCalls(findAttemptId: FindAttemptId): CarriedCalls {
  return { findAttemptId, ids: new Set(), presentId: undefined, plainHeads: new Set() };
}

/** Describes a head by its status and the names of its headers. */
function describeHead(status: number, headers: wireProtocol.RawHeaders): string {
  const names = headers.filter((_, at) => at % 2 === 0);
  return [status, ...names].join(' ').toLowerCase();
}

/** Returns what is kept of an id. Long ids may differ in their last characters alone. */
function toKept(attemptId: string): string {
  return attemptId.length <= MAX_ID_LENGTH
    ? attemptId
    : crypto.createHash('sha256').update(attemptId, 'latin1').digest('base64');
}

/** Records that a call was sent. */
export function recordCall(calls: CarriedCalls, attemptId: string): void {
  const id = toKept(attemptId);
  calls.ids.add(id);
  calls.presentId = id;
}

/**
 * Returns whether a connection may carry no more calls. Were ids dropped instead, a late response to
 * one of them would count as part of a body.
 */
export function isFull({ ids }: CarriedCalls): boolean {
  return ids.size >= MAX_CALLS;
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

/** Returns whether one of the calls had this id. */
export function hasCarried({ ids }: CarriedCalls, attemptId: string): boolean {
  return ids.has(toKept(attemptId));
}

/**
 * Judges a head inside a body by the id that it states. An id that was sent on the connection proves a
 * further response; another one may be quoted in a body. A further response to an earlier call may
 * arrive at any time, also before the body has ended. Without an id, only a head like that of a
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
  if (!hasCarried(calls, attemptId)) {
    return BODY;
  }
  return toKept(attemptId) === calls.presentId ? RESPONSE : UNCERTAIN;
}
