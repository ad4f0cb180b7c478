/**
 * Decides whether a response of the store renews the lease on the configuration.
 *
 * Responses are linearizable: a list that is requested after a peer has reported a version
 * contains that version or a later one, unless the store has been restored from an older backup.
 * A gateway that starts after such a restore reads revoked credentials as valid. It therefore does
 * not renew its lease until the store has caught up, so that callers with credentials are rejected
 * and find another gateway.
 */
import * as configurationLease from './configuration-lease.js';
import type * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';

/** The consequences of a store response. */
export type StoreResponseOutcome = {
  /** The next call must list everything: changes alone may omit something for a moment. */
  isListDue: boolean;
  /** Set if the store has fallen behind the peers or caught up with them; for the log. */
  logEvent: 'store-behind' | 'store-caught-up' | undefined;
};

/**
 * After this time a store that is still behind is trusted again, in milliseconds. Operators
 * write again within seconds what a restore lost, and a peer that reports a wrong version must
 * not lock callers out for good.
 */
const MAX_BEHIND_MS = 60_000;

/** Returns whether a peer reported a later version than the active one before a given time. */
function isBehindPeers(
  { index, peers }: gatewayState.GatewayState,
  reportedBeforeMs: number,
): boolean {
  const version = index?.configuration.version ?? 0;
  return peerView.findNewestVersion(peers, reportedBeforeMs) > version;
}

/**
 * Handles a response of the store after its content has been applied.
 *
 * @param sent clock reading at the time the call was sent
 * @param isList whether the response lists everything; otherwise it contains changes
 */
export function noteStoreResponse(
  state: gatewayState.GatewayState,
  sent: configurationLease.ClockReading,
  isList: boolean,
  now: number,
): StoreResponseOutcome {
  const { lease } = state;
  const isBehind = isBehindPeers(state, sent.steadyMs);
  const wasBehind = lease.behindSinceMs !== undefined;
  if (!isBehind) {
    configurationLease.noteConfirmed(lease, sent);
    return { isListDue: false, logEvent: wasBehind ? 'store-caught-up' : undefined };
  }
  if (!isList && !wasBehind) {
    configurationLease.noteConfirmed(lease, sent);
    return { isListDue: true, logEvent: undefined };
  }
  configurationLease.noteBehind(lease, now);
  if (now - (lease.behindSinceMs ?? now) > MAX_BEHIND_MS) {
    lease.confirmed = sent;
  }
  return { isListDue: false, logEvent: wasBehind ? undefined : 'store-behind' };
}
