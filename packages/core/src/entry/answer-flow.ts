/** Follows an offered request through its agent's messages to the caller's answer. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as effect from '../shared/effect.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';

type Effects = entryEvent.EntryEffect[];
type Held = { request: entryState.EntryRequest; target: entryState.Target };

const EVENT_STREAM = 'text/event-stream';

/** Refusals after which another agent may be asked. */
const ELSEWHERE_CODES = new Set([
  schema.ResultCode.QUEUE_FULL,
  schema.ResultCode.EVICTED,
  schema.ResultCode.SHUTTING_DOWN,
  schema.ResultCode.STALE_OFFER,
  schema.ResultCode.NO_BACKEND_SERVER,
  schema.ResultCode.CANCELLED,
]);

/**
 * Finds the request whose present attempt a message is about.
 *
 * A message of an earlier attempt, or from another agent, may come late over a
 * link that was thought dead. Taking it would mix two runs into one answer.
 */
export function findHeld(
  state: entryState.EntryState,
  backendServerId: string,
  ref: schema.AttemptRef | undefined,
): Held | undefined {
  const request = ref && state.requests.get(ref.requestId);
  const target = request?.target;
  if (ref === undefined || request === undefined || target === undefined) {
    return undefined;
  }
  const same =
    target.backendServerId === backendServerId &&
    attemptRef.toRefKey(target.ref) === attemptRef.toRefKey(ref);
  return same ? { request, target } : undefined;
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
function passData(request: entryState.EntryRequest, data: Uint8Array, now: number): Effects {
  if (!isStreamed(request)) {
    request.collected.push(data);
    return [];
  }
  const { callerId } = request.arrived;
  return [...sendHead(request, now), { kind: 'answerData', callerId, data }];
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
  return [
    acknowledge,
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
  const held = findHeld(state, backendServerId, part.ref);
  if (held === undefined) {
    return dropOld();
  }
  const { request, target } = held;
  if (part.sequence !== target.nextSequence) {
    const reason =
      part.sequence < target.nextSequence
        ? effect.DropReason.DUPLICATE
        : effect.DropReason.OUT_OF_ORDER;
    return [effect.observe({ kind: 'dropped', reason })];
  }
  target.nextSequence += 1;
  target.started = true;
  switch (part.content.case) {
    case 'head':
      request.head = part.content.value;
      return [];
    case 'data':
      return passData(request, part.content.value, now);
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
  const held = findHeld(state, backendServerId, notRun.ref);
  if (held === undefined) {
    return dropOld();
  }
  const { request } = held;
  if (ELSEWHERE_CODES.has(notRun.code) && now < request.deadlineMs) {
    return dispatch.placeAgain(state, request, now);
  }
  const code = now >= request.deadlineMs ? schema.ResultCode.DEADLINE_UNREACHABLE : notRun.code;
  const failure = outcomes.buildNotRun(code, notRun.retryAfterMs);
  return outcomes.fail(state, request, failure, now);
}

/** Ends or repeats a request whose attempt was lost or broke. */
export function handleBrokenRun(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  failure: outcomes.Failure,
  now: number,
): Effects {
  const mayRepeat = request.repeatable && !request.firstByteSent && now < request.deadlineMs;
  if (!mayRepeat) {
    return outcomes.fail(state, request, failure, now);
  }
  outcomes.recordEarlierRun(request, failure.runState);
  return dispatch.placeAgain(state, request, now);
}

/** Handles the agent's report that an attempt did not complete. */
export function handleRunFailed(
  state: entryState.EntryState,
  backendServerId: string,
  failed: schema.RunFailed,
  now: number,
): Effects {
  const held = findHeld(state, backendServerId, failed.ref);
  if (held === undefined) {
    return dropOld();
  }
  const undecided =
    failed.code === schema.ResultCode.AGENT_RESTARTED ||
    failed.code === schema.ResultCode.KEY_UNDECIDED;
  const failure =
    undecided && !held.target.started
      ? outcomes.buildMayHaveRun(failed.code)
      : outcomes.buildRan(failed.code);
  return handleBrokenRun(state, held.request, failure, now);
}

/** Notes that an attempt was started. */
export function handleStarted(
  state: entryState.EntryState,
  backendServerId: string,
  started: schema.Started,
): Effects {
  const held = findHeld(state, backendServerId, started.ref);
  if (held === undefined) {
    return dropOld();
  }
  held.target.started = true;
  return [];
}
