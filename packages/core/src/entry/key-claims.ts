/**
 * Claims the key of a request at its home agents before the request is offered,
 * and closes the key before its caller gets "not run".
 *
 * The homes are asked one after another, the oldest first, so that two calls with
 * one key meet at the first home that they share. A home that does not answer is
 * never taken to have granted the claim.
 */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as effect from '../shared/effect.js';
import * as keyHomes from '../shared/key-homes.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as keyClaim from './key-claim.js';
import * as keyJoins from './key-joins.js';
import * as linkOpening from './link-opening.js';
import * as offering from './offering.js';
import * as outcomes from './outcomes.js';

type Effects = entryEvent.EntryEffect[];

/** How long one home may take to answer, including the opening of its link, milliseconds. */
const CLAIM_TIMEOUT_MS = 1000;
/**
 * Maximum number of claims of one request. It ends the case where two entries
 * keep undoing each other's attempts.
 */
const MAX_CLAIM_ROUNDS = 8;
/** Retry-after for a caller whose key could not be decided, milliseconds. */
const UNDECIDED_RETRY_AFTER_MS = 2000;

/** Asks the current home, or completes the claim if all homes have been asked. */
function claimAtHome(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  claim: keyClaim.KeyClaim,
  now: number,
): Effects {
  if (claim.index >= claim.homes.length) {
    return completeClaim(state, request, claim, now);
  }
  const home = state.agents.get(claim.homes[claim.index]);
  if (home === undefined) {
    return endUndecided(state, request, now);
  }
  claim.sent = false;
  claim.askedMs = now;
  return [...linkOpening.openOnDemand(home, now), ...keyClaim.sendClaim(state, request, claim)];
}

/** Starts a claim of a key at its homes. */
function startClaim(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  purpose: keyClaim.ClaimPurpose,
  agent: { backendServerId: string; agentLife: string },
  now: number,
): Effects {
  const { service, key } = request.arrived;
  const document = entryState.getDocument(state, service);
  const { homes, lost } =
    document === undefined
      ? { homes: [], lost: [] }
      : keyHomes.listKeyHomes(document, request.workspace, key);
  request.claimRounds += 1;
  const claim: keyClaim.KeyClaim = {
    purpose,
    claimId: `${request.requestId}/${request.claimRounds}`,
    ref: attemptRef.buildRef(request.requestId, request.attempts),
    backendServerId: agent.backendServerId,
    agentLife: agent.agentLife,
    homes,
    index: 0,
    sent: false,
    askedMs: now,
    join: undefined,
  };
  request.claim = claim;
  state.claiming.add(request.requestId);
  const undecidable =
    homes.length === 0 ||
    request.claimRounds > MAX_CLAIM_ROUNDS ||
    keyClaim.hasLostHome(state, request, lost, now);
  return undecidable ? endUndecided(state, request, now) : claimAtHome(state, request, claim, now);
}

/** Starts to bind the key of a request to a new attempt on the chosen agent. */
export function startBind(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  now: number,
): Effects {
  request.attempts += 1;
  request.status = entryState.RequestStatus.CLAIMING;
  return startClaim(state, request, keyClaim.ClaimPurpose.BIND, agent, now);
}

/** Drops the claim of an attempt that will not be offered, and releases its slot. */
function dropClaim(request: entryState.EntryRequest): Effects {
  const { claim } = request;
  request.claim = undefined;
  if (claim?.purpose !== keyClaim.ClaimPurpose.BIND) {
    return [];
  }
  // Only this entry could offer the attempt, and it will not.
  request.replaceable.push(claim.ref);
  const { requestId } = request;
  const value = schema.create(schema.ReleaseSchema, { requestId });
  return [entryMessages.sendToAgent(claim.backendServerId, { case: 'release', value })];
}

/** Starts to close the key of a request that has failed. */
export function startClose(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const released = dropClaim(request);
  request.status = entryState.RequestStatus.CLOSING;
  const noAgent = { backendServerId: '', agentLife: '' };
  return [...released, ...startClaim(state, request, keyClaim.ClaimPurpose.CLOSE, noAgent, now)];
}

/** Puts a request back to waiting for a slot. */
function placeAgain(state: entryState.EntryState, request: entryState.EntryRequest): Effects {
  const released = dropClaim(request);
  state.claiming.delete(request.requestId);
  request.status = entryState.RequestStatus.WAITING;
  state.followUps.push({ kind: 'place', requestId: request.requestId });
  return released;
}

/** Completes a claim that every home has granted. */
function completeClaim(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  claim: keyClaim.KeyClaim,
  now: number,
): Effects {
  const line = keyClaim.logClaim(request, 'granted');
  if (claim.purpose === keyClaim.ClaimPurpose.CLOSE) {
    const failure = request.pendingFailure ?? outcomes.buildNotRun(schema.ResultCode.CANCELLED);
    return [line, ...outcomes.endFailed(state, request, failure, now)];
  }
  const agent = state.agents.get(claim.backendServerId);
  const usable = agent?.linked === true && agent.agentLife === claim.agentLife && !agent.leaving;
  if (!usable) {
    return [line, ...placeAgain(state, request)];
  }
  state.claiming.delete(request.requestId);
  if (now >= request.deadlineMs) {
    const failure = outcomes.buildNotRun(outcomes.getUnreachableCode(request));
    return [line, ...outcomes.fail(state, request, failure, now)];
  }
  request.claim = undefined;
  return [line, ...offering.sendOffer(state, request, agent, claim.ref)];
}

/**
 * Ends a claim that could not be decided.
 *
 * On a route that may be repeated the request continues, because a second run
 * does no harm. On a route that runs once it does not, because an earlier call
 * may have been dispatched.
 */
function endUndecided(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const line = keyClaim.logClaim(request, 'undecided');
  if (request.repeatable) {
    request.claimSkipped = true;
    return [line, ...placeAgain(state, request)];
  }
  const failure = {
    ...outcomes.buildMayHaveRun(schema.ResultCode.KEY_UNDECIDED),
    retryAfterMs: UNDECIDED_RETRY_AFTER_MS,
  };
  return [line, ...dropClaim(request), ...outcomes.endFailed(state, request, failure, now)];
}

/**
 * Handles a key that was closed after this call arrived: the call is given up,
 * and the key's other homes are closed too.
 */
function handleClosed(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  claim: keyClaim.KeyClaim,
  now: number,
): Effects {
  if (claim.purpose === keyClaim.ClaimPurpose.CLOSE || request.repeatable) {
    claim.index += 1;
    return claimAtHome(state, request, claim, now);
  }
  const { clockSkewMs } = entryState.getTiming(state, request.arrived.service);
  // A call that arrives within the clock skew after the close would be refused
  // again.
  request.pendingFailure = outcomes.buildNotRun(schema.ResultCode.CANCELLED, 2 * clockSkewMs);
  return startClose(state, request, now);
}

/** Joins the attempt to which the key is bound. */
function handleBound(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  claim: keyClaim.KeyClaim,
  reply: schema.ClaimReply,
  now: number,
): Effects {
  const join = keyJoins.parseJoin(state, reply, now);
  if (join === undefined || now >= request.deadlineMs) {
    return endUndecided(state, request, now);
  }
  const line = keyClaim.logClaim(request, 'bound');
  const released = dropClaim(request);
  request.claim = { ...claim, purpose: keyClaim.ClaimPurpose.CLOSE, join };
  request.status = entryState.RequestStatus.CLAIMING;
  return [line, ...released, ...joinIfDue(state, request, join, now)];
}

/** Joins once the call that bound the key has had time to offer its attempt. */
function joinIfDue(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  join: keyJoins.PendingJoin,
  now: number,
): Effects {
  if (now < join.dueMs) {
    return [];
  }
  request.claim = undefined;
  request.pendingFailure = undefined;
  state.claiming.delete(request.requestId);
  return keyJoins.startJoin(state, request, join.target, now);
}

/** Fails a request whose key cannot be used. */
function refuseKey(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  failure: outcomes.Failure,
  now: number,
): Effects {
  return [...dropClaim(request), ...outcomes.endFailed(state, request, failure, now)];
}

/** Handles a home's reply to a claim. A reply to a claim that is no longer pending is dropped. */
export function handleClaimReply(
  state: entryState.EntryState,
  homeId: string,
  reply: schema.ClaimReply,
  now: number,
): Effects {
  const requestId = reply.claimId.slice(0, reply.claimId.lastIndexOf('/'));
  const request = state.requests.get(requestId);
  const claim = request?.claim;
  const awaited =
    claim?.claimId === reply.claimId && claim.homes[claim.index] === homeId && claim.sent;
  if (request === undefined || claim === undefined || !awaited || claim.join !== undefined) {
    return [effect.observe({ kind: 'dropped', reason: effect.DropReason.LATE_CLAIM_REPLY })];
  }
  switch (reply.outcome) {
    case schema.ClaimOutcome.GRANTED:
      claim.index += 1;
      return claimAtHome(state, request, claim, now);
    case schema.ClaimOutcome.CLOSED:
      return handleClosed(state, request, claim, now);
    case schema.ClaimOutcome.BOUND:
      return handleBound(state, request, claim, reply, now);
    case schema.ClaimOutcome.EXPIRED: {
      const failure = outcomes.buildMayHaveRun(schema.ResultCode.KEY_EXPIRED);
      return refuseKey(state, request, failure, now);
    }
    case schema.ClaimOutcome.REUSED: {
      // Another home, which was not asked, may hold a binding of this very content.
      const failure =
        claim.homes.length === 1
          ? outcomes.buildNotRun(schema.ResultCode.KEY_REUSED)
          : outcomes.buildMayHaveRun(schema.ResultCode.KEY_REUSED);
      return refuseKey(state, request, failure, now);
    }
    default:
      return endUndecided(state, request, now);
  }
}

/** Joins attempts that are due, and ends claims whose home has not answered in time. */
export function handleDue(state: entryState.EntryState, now: number): Effects {
  return [...state.claiming].flatMap((requestId): Effects => {
    const request = state.requests.get(requestId);
    const claim = request?.claim;
    if (request === undefined || claim === undefined) {
      state.claiming.delete(requestId);
      return [];
    }
    if (claim.join !== undefined) {
      return joinIfDue(state, request, claim.join, now);
    }
    return now - claim.askedMs > CLAIM_TIMEOUT_MS ? endUndecided(state, request, now) : [];
  });
}
