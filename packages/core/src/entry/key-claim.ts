/**
 * A claim of one request's key, and the messages to the key's homes.
 *
 * The homes of a key are the agents that record which attempt it is bound to.
 */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as keyRetention from '../shared/key-retention.js';
import * as keyTime from '../shared/key-time.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import type * as keyJoins from './key-joins.js';

type Effects = entryEvent.EntryEffect[];

export enum ClaimPurpose {
  BIND = 'bind',
  CLOSE = 'close',
}

/** A claim in progress. */
export type KeyClaim = {
  purpose: ClaimPurpose;
  claimId: string;
  /** The attempt to which the key is to be bound. */
  ref: schema.AttemptRef;
  /** The agent that holds a slot for the attempt; empty if the key is to be closed. */
  backendServerId: string;
  agentLife: string;
  homes: string[];
  /** Index of the home that is being asked. */
  index: number;
  /** The claim was sent over the current link of the home. */
  sent: boolean;
  askedMs: number;
  /** The attempt to join, once the call that bound the key has had time to offer it. */
  join: keyJoins.PendingJoin | undefined;
};

/** Whether the key may have been bound at a home that is gone together with its bindings. */
export function hasLostHome(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  lost: readonly string[],
  now: number,
): boolean {
  const timing = entryState.getTiming(state, request.arrived.service);
  const keyMs = keyTime.parseKeyIssueTime(request.arrived.key);
  return lost.some((id) => {
    const goneMs = state.goneSeenMs.get(id) ?? now;
    const issuedLater = keyMs > goneMs + 2 * timing.clockSkewMs;
    return !issuedLater && now - goneMs <= keyRetention.computeRetention(timing);
  });
}

/** Builds the claim message for the current home. */
function buildClaim(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  claim: KeyClaim,
): schema.Claim {
  const { arrived } = request;
  return schema.create(schema.ClaimSchema, {
    claimId: claim.claimId,
    workspace: request.workspace,
    key: arrived.key,
    keyIssuedMs: keyTime.parseKeyIssueTime(arrived.key),
    contentDigest: arrived.contentDigest,
    ref: claim.ref,
    backendServerId: claim.backendServerId,
    agentLife: claim.agentLife,
    replaces: request.replaceable,
    close: claim.purpose === ClaimPurpose.CLOSE,
    arrivedMs: request.arrivedMs,
    documentVersion: entryState.getDocument(state, arrived.service)?.version ?? 0,
  });
}

/** Sends the claim to the current home, if its link is open. */
export function sendClaim(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  claim: KeyClaim,
): Effects {
  const home = state.agents.get(claim.homes[claim.index]);
  if (home?.linked !== true) {
    return [];
  }
  claim.sent = true;
  const value = buildClaim(state, request, claim);
  return [entryMessages.sendToAgent(home.backendServerId, { case: 'claim', value })];
}

/** Logs how a claim ended. */
export function logClaim(
  request: entryState.EntryRequest,
  outcome: string,
): entryEvent.EntryEffect {
  const { claim } = request;
  return effect.logDecision('claim', {
    request: request.requestId,
    attempt: claim?.ref.attempt,
    purpose: claim?.purpose,
    homes: claim?.homes,
    outcome,
  });
}

/** Sends the claims that waited for a home's link. */
export function sendPendingClaims(state: entryState.EntryState, homeId: string): Effects {
  return [...state.claiming].flatMap((requestId): Effects => {
    const request = state.requests.get(requestId);
    const claim = request?.claim;
    const waits = claim?.homes[claim.index] === homeId && !claim.sent && claim.join === undefined;
    return request !== undefined && claim !== undefined && waits
      ? sendClaim(state, request, claim)
      : [];
  });
}

/**
 * Marks claims that a home has not answered as unsent after its link has closed,
 * so that they are sent again over the next one.
 */
export function resetUnansweredClaims(state: entryState.EntryState, homeId: string): void {
  state.claiming.forEach((requestId) => {
    const claim = state.requests.get(requestId)?.claim;
    if (claim?.homes[claim.index] === homeId) {
      claim.sent = false;
    }
  });
}
