/** Follows an offered request through its agent's messages to the caller's answer. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as accounts from './accounts.js';
import * as agentHealth from './agent-health.js';
import * as costModel from './cost-model.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';
import * as observations from './observations.js';
import * as outcomes from './outcomes.js';
import * as repeats from './repeats.js';
import * as shedding from './shedding.js';

type Effects = entryEvent.EntryEffect[];
type Held = heldAttempts.Held;

const EVENT_STREAM = 'text/event-stream';

/** Refusals after which another agent may be asked. */
const ELSEWHERE_CODES = new Set([
  schema.ResultCode.QUEUE_FULL,
  schema.ResultCode.EVICTED,
  schema.ResultCode.SHUTTING_DOWN,
  schema.ResultCode.STALE_OFFER,
  schema.ResultCode.NO_BACKEND_SERVER,
  schema.ResultCode.CANCELLED,
  schema.ResultCode.DEADLINE_UNREACHABLE,
]);

/** Applies a message to each request that waits for its attempt. */
function applyToHeld(
  state: entryState.EntryState,
  backendServerId: string,
  ref: schema.AttemptRef | undefined,
  apply: (held: Held) => Effects,
): Effects {
  const held = heldAttempts.listHeld(state, backendServerId, ref);
  return held.length === 0 ? dropOld() : held.flatMap(apply);
}

/** Counts a message that belongs to no present attempt. */
export function dropOld(): Effects {
  return [effect.observe({ kind: 'dropped', reason: effect.DropReason.OLD_ATTEMPT })];
}

/** Tells whether an answer goes to the caller part by part. */
function isStreamed(request: entryState.EntryRequest): boolean {
  return request.head?.contentType.startsWith(EVENT_STREAM) ?? false;
}

/** Sends the head, once, when the first bytes follow. */
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

/** Passes bytes on, or keeps them until an unstreamed answer is whole. */
function passData(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  data: Uint8Array,
  now: number,
): Effects {
  const streamed = isStreamed(request);
  const first = request.answerTokens === 0;
  request.answerTokens += costModel.countAnswerTokens(data, streamed);
  const noted = first
    ? observations.noteDuration(state, request, agentHealth.Stage.FIRST_BYTE, now)
    : [];
  if (!streamed) {
    request.collected.push(data);
    return noted;
  }
  const { callerId } = request.arrived;
  return [...noted, ...sendHead(request, now), { kind: 'answerData', callerId, data }];
}

/** Ends an answer whose every part has come. */
function passEnd(state: entryState.EntryState, held: Held, now: number): Effects {
  const { request, target } = held;
  const { callerId } = request.arrived;
  const data = request.collected.map((bytes): entryEvent.EntryEffect => ({
    kind: 'answerData',
    callerId,
    data: bytes,
  }));
  const acknowledge = entryMessages.sendToAgent(
    target.backendServerId,
    entryMessages.buildAcknowledge(target),
  );
  const noted = observations.noteCompleted(state, request, now);
  return [
    acknowledge,
    ...noted,
    ...sendHead(request, now),
    ...data,
    ...outcomes.complete(state, request, now),
  ];
}

/** Takes the next part of an answer; doubled and skipping parts are dropped. */
export function takePart(
  state: entryState.EntryState,
  backendServerId: string,
  part: schema.AnswerPart,
  now: number,
): Effects {
  return applyToHeld(state, backendServerId, part.ref, (held) =>
    takeHeldPart(state, held, part, now),
  );
}

/** Takes the next part for one request. */
function takeHeldPart(
  state: entryState.EntryState,
  held: Held,
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
  accounts.markStarted(state, request, now);
  switch (part.content.case) {
    case 'head':
      request.head = part.content.value;
      return [];
    case 'data':
      return passData(state, request, part.content.value, now);
    case 'end':
      return passEnd(state, held, now);
    default:
      return [];
  }
}

/** Handles the agent's confirmation that an attempt never ran. */
export function handleNotRun(
  state: entryState.EntryState,
  backendServerId: string,
  notRun: schema.NotRun,
  now: number,
): Effects {
  return applyToHeld(state, backendServerId, notRun.ref, (held) =>
    handleHeldNotRun(state, held, notRun, now),
  );
}

/** Places one request elsewhere, or tells its caller that it was not run. */
function handleHeldNotRun(
  state: entryState.EntryState,
  held: Held,
  notRun: schema.NotRun,
  now: number,
): Effects {
  const { request, target } = held;
  // The deadline that a joined attempt missed was that of another call.
  if (notRun.code === schema.ResultCode.DEADLINE_UNREACHABLE && !target.joined) {
    request.unreachableBy.add(target.backendServerId);
  }
  const service = accounts.getServiceOf(state, request);
  // It was taken back to make room, and the place that it leaves is for others.
  const givesWay =
    service.withdrawnIds.has(request.requestId) &&
    !accounts.hasLessUrgent(service, request.tierRank);
  if (givesWay && now < request.deadlineMs) {
    return shedding.shed(state, request, now);
  }
  if (ELSEWHERE_CODES.has(notRun.code) && now < request.deadlineMs) {
    return dispatch.placeAgain(state, request, now);
  }
  const code = now >= request.deadlineMs ? schema.ResultCode.DEADLINE_UNREACHABLE : notRun.code;
  const retryAfterMs =
    notRun.retryAfterMs || shedding.drawRetryAfter(state, service, request.tierRank);
  return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
}

/** Handles the agent's report that an attempt did not complete. */
export function handleRunFailed(
  state: entryState.EntryState,
  backendServerId: string,
  failed: schema.RunFailed,
  now: number,
): Effects {
  return applyToHeld(state, backendServerId, failed.ref, (held) =>
    handleHeldFailed(state, held, failed, now),
  );
}

/** Ends or repeats one request whose attempt did not complete. */
function handleHeldFailed(
  state: entryState.EntryState,
  held: Held,
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
    ...observations.noteFailure(state, held.request, now),
    ...repeats.handleBrokenRun(state, held.request, failure, now),
  ];
}

/** Notes that an attempt was started. */
export function handleStarted(
  state: entryState.EntryState,
  backendServerId: string,
  started: schema.Started,
  now: number,
): Effects {
  return applyToHeld(state, backendServerId, started.ref, ({ request }) => {
    accounts.markStarted(state, request, now);
    return [];
  });
}
