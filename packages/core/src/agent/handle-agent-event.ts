/** Entry point of the agent's core: applies one event to the state and returns its effects. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as responses from './responses.js';
import * as claims from './claims.js';
import * as crashSuspects from './crash-suspects.js';
import * as engineAvailability from './engine-availability.js';
import * as engineRuns from './engine-runs.js';
import * as entryLinks from './entry-links.js';
import * as leaving from './leaving.js';
import * as offers from './offers.js';
import * as holds from './holds.js';
import * as places from './places.js';
import * as refusals from './refusals.js';
import * as reservations from './reservations.js';
import * as runRetention from './run-retention.js';
import * as runs from './runs.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];
type EventOf<K extends agentEvent.AgentEvent['kind']> = Extract<agentEvent.AgentEvent, { kind: K }>;

/** Dispatches one message of an entry to its handler. */
function handleEntryMessage(
  state: agentState.AgentState,
  event: EventOf<'entryMessage'>,
  now: number,
): Effects {
  const { linkId } = event;
  const { body } = event.message;
  entryLinks.recordReceived(state, linkId, now);
  switch (body.case) {
    case 'hello':
      return entryLinks.acceptHello(state, linkId, body.value);
    case 'heartbeat':
      return [
        ...entryLinks.handleHeartbeat(state, linkId, body.value, now),
        ...crashSuspects.mergeReceived(state, body.value.suspects, now),
      ];
    case 'offer':
      return offers.acceptOffer(state, linkId, body.value, now);
    case 'reserve':
      return reservations.acceptReserve(state, linkId, body.value, now);
    case 'release':
      return reservations.release(state, body.value.requestId, now);
    case 'withdraw':
      return offers.withdraw(state, linkId, body.value, now);
    case 'resume':
      return offers.resume(state, linkId, body.value, now);
    case 'cancel':
      return offers.cancel(state, linkId, body.value, now);
    case 'acknowledge':
      if (body.value.ref !== undefined) {
        responses.acknowledge(state, attemptRef.toRefKey(body.value.ref), body.value.nextSequence);
      }
      return [];
    case 'claim':
      return claims.replyClaim(state, linkId, body.value, now);
    case 'documentRequest':
      return entryLinks.sendDocument(state, linkId, body.value);
    case 'documentBody':
      return [{ kind: 'documentReceived', json: body.value.json }];
    default:
      return [];
  }
}

/** Forgets ended attempts once a late copy of their offer would be refused as stale. */
function expireRecords(state: agentState.AgentState, now: number): void {
  const timing = agentState.getTiming(state);
  const keepMs = timing.keyWindowMs + 2 * timing.clockSkewMs;
  runRetention.takeEndedBefore(state.retention, now - keepMs).forEach((refKey) => {
    runRetention.forgetResponse(state.retention, refKey);
    state.runs.delete(refKey);
  });
}

/** Refuses queued work whose deadline has passed. */
function refuseOverdue(state: agentState.AgentState, now: number): Effects {
  return startQueue
    .listOverdue(state.queue, now)
    .flatMap((item) =>
      refusals.refuseItem(state, item, schema.ResultCode.DEADLINE_UNREACHABLE, now),
    );
}

/** Does the work that falls due by time alone. */
function handleTick(state: agentState.AgentState, now: number): Effects {
  places.recordTime(state, now);
  expireRecords(state, now);
  suspects.expireSuspects(state.suspects, now);
  return [
    ...refuseOverdue(state, now),
    ...entryLinks.sendDueHeartbeats(state, now),
    ...holds.expireHolds(state, now),
    ...runs.startQueued(state, now),
    ...leaving.stopWhenIdle(state, now),
  ];
}

/**
 * Applies one event to the agent's state.
 *
 * @param now present time, milliseconds since the Unix epoch
 */
export function handleAgentEvent(
  state: agentState.AgentState,
  event: agentEvent.AgentEvent,
  now: number,
): Effects {
  switch (event.kind) {
    case 'linkOpened':
      return entryLinks.openLink(state, event.linkId, now);
    case 'linkClosed':
      entryLinks.closeLink(state, event.linkId);
      return reservations.releaseLink(state, event.linkId, now);
    case 'entryMessage':
      return handleEntryMessage(state, event, now);
    case 'engineHead':
    case 'engineData':
    case 'engineEnd':
    case 'engineFailed':
      return engineRuns.handleEngineEvent(state, event, now);
    case 'engineAvailable':
      return engineAvailability.setAvailable(state, event.available, now);
    case 'vmLeaving':
      return leaving.setVmLeaving(state, event.leaving, now);
    case 'documentRead':
      return leaving.applyDocument(state, event.stored, now);
    case 'ticked':
      return handleTick(state, now);
    case 'shutdownStarted':
      return leaving.startShutdown(state, now);
    default:
      return [];
  }
}
