/** Applies an agent's reports about an attempt, and passes its response on to the caller. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as agentHealth from './agent-health.js';
import * as costModel from './cost-model.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';
import * as agentMeasurements from './agent-measurements.js';
import * as outcomes from './outcomes.js';
import * as retries from './retries.js';
import * as shedding from './shedding.js';

type Effects = entryEvent.EntryEffect[];
type HeldAttempt = heldAttempts.HeldAttempt;

const EVENT_STREAM = 'text/event-stream';

/** Refusals after which another agent may be asked. */
const RETRY_ELSEWHERE_CODES = new Set([
  schema.ResultCode.QUEUE_FULL,
  schema.ResultCode.EVICTED,
  schema.ResultCode.SHUTTING_DOWN,
  schema.ResultCode.STALE_OFFER,
  schema.ResultCode.NO_BACKEND_SERVER,
  schema.ResultCode.CANCELLED,
  schema.ResultCode.DEADLINE_UNREACHABLE,
]);

/** Applies a message to each request that waits for its attempt. */
function applyToHeldAttempts(
  state: entryState.EntryState,
  backendServerId: string,
  ref: schema.AttemptRef | undefined,
  apply: (held: HeldAttempt) => Effects,
): Effects {
  const held = heldAttempts.listHeldAttempts(state, backendServerId, ref);
  return held.length === 0 ? dropStaleMessage() : held.flatMap(apply);
}

/** Counts a message that belongs to no current attempt. */
export function dropStaleMessage(): Effects {
  return [effect.observe({ kind: 'dropped', reason: effect.DropReason.OLD_ATTEMPT })];
}

/** Whether a response is forwarded to the caller part by part. */
function isStreamed(request: entryState.EntryRequest): boolean {
  return request.head?.contentType.startsWith(EVENT_STREAM) ?? false;
}

/** Sends the response head, once, before the first bytes. */
function sendHead(request: entryState.EntryRequest, now: number): Effects {
  const { head, arrived, requestId } = request;
  if (request.firstByteSent || head === undefined) {
    return [];
  }
  request.firstByteSent = true;
  const { callerId, service } = arrived;
  const ms = now - request.arrivedMs;
  return [
    effect.observe({ kind: 'firstByte', service, tier: request.tierName, ms }),
    { kind: 'answerHead', callerId, requestId, status: head.status, contentType: head.contentType },
  ];
}

/** Forwards bytes, or buffers them until a response that is not streamed is complete. */
function forwardData(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  data: Uint8Array,
  now: number,
): Effects {
  const streamed = isStreamed(request);
  const first = request.answerTokens === 0;
  request.answerTokens += costModel.countResponseTokens(data, streamed);
  const recorded = first
    ? agentMeasurements.recordDuration(state, request, agentHealth.Stage.FIRST_BYTE, now)
    : [];
  if (!streamed) {
    request.bufferedParts.push(data);
    return recorded;
  }
  const { callerId } = request.arrived;
  return [...recorded, ...sendHead(request, now), { kind: 'answerData', callerId, data }];
}

/** Ends a response of which every part has arrived. */
function forwardEnd(state: entryState.EntryState, held: HeldAttempt, now: number): Effects {
  const { request, target } = held;
  const { callerId } = request.arrived;
  const data = request.bufferedParts.map((bytes): entryEvent.EntryEffect => ({
    kind: 'answerData',
    callerId,
    data: bytes,
  }));
  const acknowledge = entryMessages.sendToAgent(
    target.backendServerId,
    entryMessages.buildAcknowledge(target),
  );
  const recorded = agentMeasurements.recordCompletion(state, request, now);
  return [
    acknowledge,
    ...recorded,
    ...sendHead(request, now),
    ...data,
    ...outcomes.complete(state, request, now),
  ];
}

/** Applies the next part of a response. Duplicate and out-of-order parts are dropped. */
export function handlePart(
  state: entryState.EntryState,
  backendServerId: string,
  part: schema.AnswerPart,
  now: number,
): Effects {
  return applyToHeldAttempts(state, backendServerId, part.ref, (held) =>
    applyPart(state, held, part, now),
  );
}

/** Applies the next part to one request. */
function applyPart(
  state: entryState.EntryState,
  held: HeldAttempt,
  part: schema.AnswerPart,
  now: number,
): Effects {
  const { request, target } = held;
  if (part.sequence !== target.nextSequence) {
    const reason =
      part.sequence < target.nextSequence
        ? effect.DropReason.DUPLICATE
        : effect.DropReason.OUT_OF_ORDER;
    return [effect.observe({ kind: 'dropped', reason })];
  }
  target.nextSequence += 1;
  requestAccounting.markStarted(state, request, now);
  switch (part.content.case) {
    case 'head':
      request.head = part.content.value;
      return [];
    case 'data':
      return forwardData(state, request, part.content.value, now);
    case 'end':
      return forwardEnd(state, held, now);
    default:
      return [];
  }
}

/** Handles an agent's confirmation that an attempt was not run. */
export function handleNotRun(
  state: entryState.EntryState,
  backendServerId: string,
  notRun: schema.NotRun,
  now: number,
): Effects {
  return applyToHeldAttempts(state, backendServerId, notRun.ref, (held) =>
    handleHeldNotRun(state, held, notRun, now),
  );
}

/** Places one request elsewhere, or fails it as not run. */
function handleHeldNotRun(
  state: entryState.EntryState,
  held: HeldAttempt,
  notRun: schema.NotRun,
  now: number,
): Effects {
  const { request, target } = held;
  // The deadline that a joined attempt missed was that of another call.
  if (notRun.code === schema.ResultCode.DEADLINE_UNREACHABLE && !target.joined) {
    request.deadlineRefusedBy.add(target.backendServerId);
  }
  const service = requestAccounting.getRequestService(state, request);
  // The request was withdrawn to make room, and the slot that it leaves is meant
  // for others, so it is shed unless a less urgent request can be.
  const isShedVictim =
    service.withdrawnIds.has(request.requestId) &&
    !requestAccounting.hasLessUrgent(service, request.tierRank);
  if (isShedVictim && now < request.deadlineMs) {
    return shedding.shed(state, request, now);
  }
  if (RETRY_ELSEWHERE_CODES.has(notRun.code) && now < request.deadlineMs) {
    return dispatch.placeAgain(state, request, now);
  }
  const code = now >= request.deadlineMs ? outcomes.getUnreachableCode(request) : notRun.code;
  const retryAfterMs =
    notRun.retryAfterMs || shedding.drawRetryAfter(state, service, request.tierRank);
  return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
}

/** Handles an agent's report that an attempt did not complete. */
export function handleRunFailed(
  state: entryState.EntryState,
  backendServerId: string,
  failed: schema.RunFailed,
  now: number,
): Effects {
  return applyToHeldAttempts(state, backendServerId, failed.ref, (held) =>
    handleHeldFailed(state, held, failed, now),
  );
}

/** Fails or retries one request whose attempt did not complete. */
function handleHeldFailed(
  state: entryState.EntryState,
  held: HeldAttempt,
  failed: schema.RunFailed,
  now: number,
): Effects {
  const undecided =
    failed.code === schema.ResultCode.AGENT_RESTARTED ||
    failed.code === schema.ResultCode.KEY_UNDECIDED;
  const failure =
    undecided && !held.target.started
      ? outcomes.buildMayHaveRun(failed.code)
      : outcomes.buildRan(failed.code);
  return [
    ...agentMeasurements.recordFailure(state, held.request, now),
    ...retries.handleFailedRun(state, held.request, failure, now),
  ];
}

/** Records that an attempt was started. */
export function handleStarted(
  state: entryState.EntryState,
  backendServerId: string,
  started: schema.Started,
  now: number,
): Effects {
  return applyToHeldAttempts(state, backendServerId, started.ref, ({ request }) => {
    requestAccounting.markStarted(state, request, now);
    return [];
  });
}
