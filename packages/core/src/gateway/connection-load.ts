/**
 * Decides which new connections a gateway refuses unread because it gets more of them than it can
 * accept in time.
 *
 * The load: most new connections of a failure domain at one gateway. They wait in the queue of its
 * listening socket until their callers have left, and so do those that follow. A caller whose
 * connection is refused tries another gateway.
 * While no other gateway of the failure domain has processor time left, retries would add to the
 * load of all, so that only connections whose callers have probably left are refused, and a caller
 * that has not is asked to wait until the queue is shorter.
 */
import * as schema from '@toucanproxy/schema';
import type * as gatewayState from './gateway-state.js';
import * as peerCounts from './peer-counts.js';
import * as refusal from './refusal.js';

export type ConnectionLoad = {
  /** Since when new connections have waited too long, milliseconds; undefined if they have not. */
  lateSinceMs: number | undefined;
  isRefusing: boolean;
};

/** What to do with a new connection, and whether that begins or ends a series of refused ones. */
export type ConnectionVerdict = {
  /** Undefined if the connection is served. */
  refusal: refusal.Refusal | undefined;
  change: 'begun' | 'ended' | undefined;
};

/**
 * Longest wait of a new connection, milliseconds. Callers abandon a request that is not read for a
 * second, and the request waits for further turns of the event loop after it has been read.
 */
const MAX_WAIT_MS = 250;
/**
 * The same while no other gateway has processor time left, milliseconds. Most callers have left by
 * the time the request would be read, and the gateway would only read requests of such callers.
 */
const MAX_WAIT_ALONE_MS = 700;
/** Connections are refused once they have waited too long for this time, milliseconds. */
const GRACE_MS = 200;
/** Highest load of a peer that is expected to accept more connections, percent. */
const MAX_SPARE_PERCENT = 70;

/** Creates the load of a gateway that has just started. */
export function createConnectionLoad(): ConnectionLoad {
  return { lateSinceMs: undefined, isRefusing: false };
}

/**
 * Decides whether a new connection is refused unread.
 *
 * @param waitedMs how long it has waited to be accepted, as measured, milliseconds
 */
export function checkConnection(
  { connectionLoad: load, peers, failureDomain }: gatewayState.GatewayState,
  waitedMs: number,
  now: number,
): ConnectionVerdict {
  const hasSpare =
    waitedMs > MAX_WAIT_MS && peerCounts.hasSparePeer(peers, failureDomain, MAX_SPARE_PERCENT, now);
  const maxWaitMs = hasSpare ? MAX_WAIT_MS : MAX_WAIT_ALONE_MS;
  load.lateSinceMs = waitedMs <= maxWaitMs ? undefined : (load.lateSinceMs ?? now);
  const wasRefusing = load.isRefusing;
  load.isRefusing = load.lateSinceMs !== undefined && now - load.lateSinceMs >= GRACE_MS;
  const changed = load.isRefusing ? 'begun' : 'ended';
  const change = load.isRefusing === wasRefusing ? undefined : changed;
  if (!load.isRefusing) {
    return { refusal: undefined, change };
  }
  const retryAfterMs = hasSpare ? refusal.OTHER_GATEWAY_RETRY_AFTER_MS : waitedMs;
  const code = schema.ResultCode.GATEWAY_OVERLOADED;
  return { refusal: refusal.buildRefusal(code, retryAfterMs), change };
}
