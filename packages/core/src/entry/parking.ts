/** Parked requests: those that wait in the entry until an agent's queue has room for them. */
import * as schema from '@toucanproxy/schema';
import * as startQueue from '../shared/start-queue.js';
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as assignment from './assignment.js';
import * as candidates from './candidates.js';
import * as queueThroughput from '../shared/queue-throughput.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';
import * as shedding from './shedding.js';

type Effects = entryEvent.EntryEffect[];

/** How long a service without any linked agent waits for links to open, milliseconds. */
const LINK_GRACE_MS = 2000;
/**
 * How long to wait for the grant of an agent that had room before others are
 * asked, milliseconds.
 */
export const ASK_MORE_MS = 500;
/** Maximum number of requests that are retried when one agent has room. */
const MAX_WOKEN_REQUESTS = 32;

/** Parks a request until an agent has room, if that can happen before its deadline. */
export function waitForRoom(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const service = requestAccounting.getRequestService(state, request);
  const ahead = requestAccounting.estimateTokensAhead(state, request);
  const waitMs = queueThroughput.estimateWaitMs(service.throughput, ahead);
  const unreachable =
    request.refusedBy.size > 0 && request.deadlineRefusedBy.size >= request.refusedBy.size;
  if (unreachable || now + waitMs >= request.deadlineMs) {
    const retryAfterMs = shedding.drawRetryAfter(state, service, request.tierRank);
    const code = outcomes.getUnreachableCode(request);
    return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
  }
  requestAccounting.addParked(state, request, now);
  const line = effect.logDecision('parked', {
    request: request.requestId,
    service: service.service,
    tier: request.tierName,
    refusedBy: [...request.refusedBy],
    tokensAhead: ahead,
  });
  return [line, ...shedding.shedOverflow(state, service, now)];
}

/** Whether links of a service may still open soon. */
function isOpening(state: entryState.EntryState, service: string, now: number): boolean {
  const { lastLinkedMs } = entryState.getService(state, service);
  const document = entryState.getDocument(state, service);
  const staying = document?.backendServers.some(
    (server) => state.agents.get(server.id)?.leaving === false,
  );
  return staying === true && now - lastLinkedMs < LINK_GRACE_MS;
}

/** Parks or fails a request whose service has no usable agent. */
export function handleNoAgent(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const service = requestAccounting.getRequestService(state, request);
  if (!isOpening(state, service.service, now)) {
    const retryAfterMs = shedding.drawRetryAfter(state, service, request.tierRank);
    const code = schema.ResultCode.NO_BACKEND_SERVER;
    return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
  }
  requestAccounting.addParked(state, request, now);
  request.nextAskAtMs = service.lastLinkedMs + LINK_GRACE_MS;
  requestAccounting.updateDueTime(state, request, now);
  return shedding.shedOverflow(state, service, now);
}

/**
 * Lists the agents whose queue, by their last report, has room for a request.
 * Asking the others would cost two messages each and end in a refusal. The
 * request is retried when one of them has room.
 */
export function listWithRoom(
  state: entryState.EntryState,
  agents: readonly entryState.AgentView[],
  request: entryState.EntryRequest,
): entryState.AgentView[] {
  return agents.filter((agent) => countRoom(state, agent, request.tierRank) > 0);
}

/** Counts the requests of a tier for which an agent has room, by its last report. */
function countRoom(
  state: entryState.EntryState,
  agent: entryState.AgentView,
  tierRank: number,
): number {
  const { maxQueued } = entryState.getLimits(state, agent.service);
  const evictable = (agent.load?.queuedByTier ?? [])
    .slice(tierRank + 1)
    .reduce((sum, count) => sum + count, 0);
  return maxQueued - (agent.load?.queued ?? 0) + evictable;
}

/**
 * Asks an agent that has room to take parked requests, in queue order.
 *
 * @param leastRoom room that is known of, whatever the agent last reported
 */
export function retryParked(
  state: entryState.EntryState,
  agent: entryState.AgentView,
  now: number,
  leastRoom = 0,
): Effects {
  const usable = candidates.listUsable(state, agent.service, now).includes(agent);
  if (!usable || entryState.isDocumentOutdated(state, agent.service, now)) {
    return [];
  }
  const { parked } = entryState.getService(state, agent.service);
  const effects: Effects = [];
  for (let woken = 0; woken < MAX_WOKEN_REQUESTS; woken += 1) {
    const item = startQueue.findNext(parked);
    const request = item && state.requests.get(item.id);
    if (item === undefined || request === undefined) {
      break;
    }
    if (woken >= Math.max(countRoom(state, agent, item.tierRank), leastRoom)) {
      break;
    }
    startQueue.takeItem(parked, item);
    request.refusedBy.delete(agent.backendServerId);
    request.deadlineRefusedBy.delete(agent.backendServerId);
    request.nextAskAtMs = now + ASK_MORE_MS;
    requestAccounting.updateDueTime(state, request, now);
    effects.push(
      ...assignment.askAgent(state, request, agent, assignment.AssignmentReason.ROOM, now),
    );
  }
  return effects;
}

/** Asks every agent that has room to take parked requests. */
export function retryAllParked(
  state: entryState.EntryState,
  service: string,
  now: number,
): Effects {
  return candidates
    .listUsable(state, service, now)
    .flatMap((agent) => retryParked(state, agent, now));
}
