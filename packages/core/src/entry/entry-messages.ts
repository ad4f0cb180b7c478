/** Builds the messages that an entry sends to an agent. */
import * as schema from '@toucanproxy/schema';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';

type Body = schema.EntryMessage['body'];

/** Builds the effect that sends one message to one agent. */
export function sendToAgent(backendServerId: string, body: Body): entryEvent.EntryEffect {
  const message = schema.create(schema.EntryMessageSchema, { body });
  return { kind: 'sendToAgent', backendServerId, message };
}

/** Builds the offer of a request to the agent chosen for it. */
export function buildOffer(request: entryState.EntryRequest, target: entryState.Target): Body {
  const { arrived } = request;
  const offer = schema.create(schema.OfferSchema, {
    ref: target.ref,
    agentLife: target.agentLife,
    workspace: request.workspace,
    tierRank: request.tierRank,
    weight: request.weight,
    issuedMs: target.issuedMs,
    deadlineMs: request.deadlineMs,
    estimatedTokens: arrived.estimatedTokens,
    repeatable: request.repeatable,
    contentDigest: arrived.contentDigest,
    method: arrived.method,
    path: arrived.path,
    contentType: arrived.contentType,
    payload: arrived.payload,
    prefixHashes: arrived.prefixHashes,
  });
  return { case: 'offer', value: offer };
}

/** Builds the message that asks for a slot; it does not carry the request itself. */
export function buildReserve(request: entryState.EntryRequest): Body {
  const { arrived } = request;
  const reserve = schema.create(schema.ReserveSchema, {
    requestId: request.requestId,
    tierRank: request.tierRank,
    workspace: request.workspace,
    estimatedTokens: arrived.estimatedTokens,
    deadlineMs: request.deadlineMs,
    prefixHashes: arrived.prefixHashes,
    weight: request.weight,
  });
  return { case: 'reserve', value: reserve };
}

/** Builds the message that releases a slot that is no longer needed. */
export function buildRelease(requestId: string): Body {
  return { case: 'release', value: schema.create(schema.ReleaseSchema, { requestId }) };
}

/** Builds the message that asks for the response parts that the entry has not received. */
export function buildResume(request: entryState.EntryRequest, target: entryState.Target): Body {
  const resume = schema.create(schema.ResumeSchema, {
    ref: target.ref,
    agentLife: target.agentLife,
    workspace: request.workspace,
    issuedMs: target.issuedMs,
    nextSequence: target.nextSequence,
  });
  return { case: 'resume', value: resume };
}

/** Builds the message that asks for a confirmation that an attempt will not run. */
export function buildWithdraw(target: entryState.Target): Body {
  const { ref, agentLife, issuedMs } = target;
  const value = schema.create(schema.WithdrawSchema, { ref, agentLife, issuedMs });
  return { case: 'withdraw', value };
}

/** Builds the message that cancels an attempt whose response nobody reads any more. */
export function buildCancel(target: entryState.Target): Body {
  const { ref, issuedMs } = target;
  return { case: 'cancel', value: schema.create(schema.CancelSchema, { ref, issuedMs }) };
}

/** Builds the acknowledgement of the response parts received so far. */
export function buildAcknowledge(target: entryState.Target): Body {
  const { ref, nextSequence } = target;
  const value = schema.create(schema.AcknowledgeSchema, { ref, nextSequence });
  return { case: 'acknowledge', value };
}
