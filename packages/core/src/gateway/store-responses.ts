/**
 * What an answer of the store confirms.
 *
 * Answers are linearizable: a list that is asked for after a peer has told of a version holds
 * that version or a later one, unless the store has been restored from an older backup. A gateway
 * that starts then reads keys which were taken away as valid. Until the store has caught up it
 * confirms nothing, so that callers with keys are refused and find another gateway.
 */
import * as configurationLease from './configuration-lease.js';
import type * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';

/** What follows from an answer. */
export type StoreResponseOutcome = {
  /** All is to be listed next: changes alone may leave something out for a moment. */
  isListDue: boolean;
  /** News of whether the store is behind, for the log. */
  logEvent: 'store-behind' | 'store-caught-up' | undefined;
};

/**
 * A store that stays behind for this time is believed, milliseconds. Operators write again
 * within seconds what was lost; a peer that tells a wrong version must not lock callers out.
 */
const BEHIND_MOST_MS = 60_000;

/** Tells whether a peer has told, before a time, of a later version than the one in force here. */
function isBehindPeers(
  { index, peers }: gatewayState.GatewayState,
  heardBeforeMs: number,
): boolean {
  const version = index?.configuration.version ?? 0;
  return peerView.findNewestVersion(peers, heardBeforeMs) > version;
}

/**
 * Takes in that the store has answered, once what it told is in force.
 *
 * @param sent reading of the clocks when the call was sent
 * @param isList the answer lists everything; else it tells changes
 */
export function noteStoreResponse(
  state: gatewayState.GatewayState,
  sent: configurationLease.ClockReading,
  isList: boolean,
  now: number,
): StoreResponseOutcome {
  const { lease: known } = state;
  const isBehind = isBehindPeers(state, sent.steadyMs);
  const wasBehind = known.behindSinceMs !== undefined;
  if (!isBehind) {
    configurationLease.noteConfirmed(known, sent);
    return { isListDue: false, logEvent: wasBehind ? 'store-caught-up' : undefined };
  }
  if (!isList && !wasBehind) {
    configurationLease.noteConfirmed(known, sent);
    return { isListDue: true, logEvent: undefined };
  }
  configurationLease.noteBehind(known, now);
  if (now - (known.behindSinceMs ?? now) > BEHIND_MOST_MS) {
    known.confirmed = sent;
  }
  return { isListDue: false, logEvent: wasBehind ? undefined : 'store-behind' };
}
