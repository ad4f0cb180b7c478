/** Finds agents for requests that wait. */
import * as schema from '@toucanproxy/schema';
import * as startQueue from '../agent/start-queue.js';
import * as effect from '../shared/effect.js';
import * as accounts from './accounts.js';
import * as asking from './asking.js';
import * as candidates from './candidates.js';
import * as drainRate from './drain-rate.js';
import * as entryEvent from './entry-event.js';
import * as entryPolicy from './entry-policy.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';
import * as placement from './placement.js';
import * as shedding from './shedding.js';

type Effects = entryEvent.EntryEffect[];
type WayOf<K extends entryPolicy.PlacementWay['kind']> = Extract<
  entryPolicy.PlacementWay,
  { kind: K }
>;

/** How long a service without any agent waits for links to open, milliseconds. */
const LINK_GRACE_MS = 2000;
/** Wait for the grant of an agent that had room before others are asked, milliseconds. */
const ASK_MORE_MS = 500;
/** Requests that one sign of room at an agent wakes, at most. */
const MAX_WOKEN = 32;

/** Logs a decision with what it was taken from. */
function logPlacement(
  event: string,
  request: entryState.EntryRequest,
  considered: readonly placement.Candidate[],
  chosen: string[],
): entryEvent.EntryEffect {
  const describe = (one: placement.Candidate) => ({
    id: one.backendServerId,
    delayMs: Math.round(placement.estimateDelay(one, request.arrived.estimatedTokens)),
    cachedTokens: one.cachedTokens,
  });
  return effect.logDecision(event, {
    request: request.requestId,
    attempt: request.attempts + 1,
    service: request.arrived.service,
    tier: request.tierName,
    candidates: considered.map(describe),
    chosen,
  });
}

/** Builds what a choice may use besides the candidates. */
function buildContext(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): placement.PlacementContext {
  return {
    drawRandom: state.policy.drawRandom,
    serial: accounts.getServiceOf(state, request).placements,
    estimatedTokens: request.arrived.estimatedTokens,
  };
}

/** Lets a request wait until an agent has room, where that can be in time. */
function waitForRoom(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const service = accounts.getServiceOf(state, request);
  const ahead = accounts.estimateTokensAhead(state, request);
  const waitMs = drainRate.estimateWaitMs(service.drain, ahead);
  const unreachable =
    request.refusedBy.size > 0 && request.unreachableBy.size >= request.refusedBy.size;
  if (unreachable || now + waitMs >= request.deadlineMs) {
    const retryAfterMs = shedding.drawRetryAfter(state, service, request.tierRank);
    const code = schema.ResultCode.DEADLINE_UNREACHABLE;
    return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
  }
  accounts.addParked(state, request, now);
  return shedding.shedOverflow(state, service, now);
}

/** Tells whether links of a service may still open soon. */
function isOpening(state: entryState.EntryState, service: string, now: number): boolean {
  const { lastLinkedMs } = entryState.getService(state, service);
  const document = entryState.getDocument(state, service);
  const staying = document?.backendServers.some(
    (server) => state.agents.get(server.id)?.leaving === false,
  );
  return staying === true && now - lastLinkedMs < LINK_GRACE_MS;
}

/** Decides on a request whose service has no agent at all. */
function handleNoAgent(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const service = accounts.getServiceOf(state, request);
  if (!isOpening(state, service.service, now)) {
    const retryAfterMs = shedding.drawRetryAfter(state, service, request.tierRank);
    const code = schema.ResultCode.NO_BACKEND_SERVER;
    return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
  }
  accounts.addParked(state, request, now);
  request.askMoreMs = service.lastLinkedMs + LINK_GRACE_MS;
  accounts.updateDue(state, request, now);
  return shedding.shedOverflow(state, service, now);
}

/** Pushes a request to one of the agents that have not refused it. */
function pushRequest(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  open: readonly entryState.AgentView[],
  way: WayOf<'push'>,
  now: number,
): Effects {
  if (open.length === 0) {
    return waitForRoom(state, request, now);
  }
  const considered = candidates.listCandidates(state, request, open, now);
  const chosen = way.choose(considered, buildContext(state, request));
  const agent = open.find((one) => one.backendServerId === chosen.backendServerId);
  if (agent === undefined) {
    return [];
  }
  const line = logPlacement('placement', request, considered, [chosen.backendServerId]);
  return [line, ...asking.giveTo(state, request, agent, now)];
}

/** Asks agents for a place; one more than before where some were asked already. */
function reservePlaces(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  open: readonly entryState.AgentView[],
  way: WayOf<'reserve'>,
  now: number,
): Effects {
  if (open.length === 0) {
    request.askMoreMs = Infinity;
    accounts.updateDue(state, request, now);
    return request.reservedAt.size > 0 ? [] : waitForRoom(state, request, now);
  }
  const considered = candidates.listCandidates(state, request, open, now);
  const count = Math.max(way.askCount - request.reservedAt.size, 1);
  const { asked, waitMs } = way.plan(considered, buildContext(state, request), count);
  const ids = asked.map((one) => one.backendServerId);
  request.askMoreMs = now + waitMs;
  accounts.updateDue(state, request, now);
  return [
    logPlacement('reserve', request, considered, ids),
    ...open
      .filter((agent) => ids.includes(agent.backendServerId))
      .flatMap((agent) => asking.askAgent(state, request, agent, now)),
  ];
}

/**
 * Lists the agents whose queue, as last reported, takes a request. Asking the
 * others costs two messages each and ends in a refusal; they wake the request
 * when they have room.
 */
function listWithRoom(
  state: entryState.EntryState,
  agents: readonly entryState.AgentView[],
  request: entryState.EntryRequest,
): entryState.AgentView[] {
  return agents.filter((agent) => countRoom(state, agent, request.tierRank) > 0);
}

/** Finds agents for one waiting request. */
export function place(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const { service } = request.arrived;
  if (entryState.isBehind(state, service, now)) {
    accounts.addParked(state, request, now);
    request.askMoreMs = now + ASK_MORE_MS;
    accounts.updateDue(state, request, now);
    return [];
  }
  const usable = candidates.listUsable(state, service, now);
  if (usable.length === 0) {
    return handleNoAgent(state, request, now);
  }
  const { way } = state.policy;
  const open = usable.filter(
    ({ backendServerId: id }) => !request.refusedBy.has(id) && !request.reservedAt.has(id),
  );
  return way.kind === 'push'
    ? pushRequest(state, request, open, way, now)
    : reservePlaces(state, request, listWithRoom(state, open, request), way, now);
}

/** Takes in a new request: what gives way for it is decided first. */
export function placeNew(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  accounts.addRequest(state, request, now);
  const shed = shedding.shedOverflow(state, accounts.getServiceOf(state, request), now);
  const placed = isIdle(state, request) ? place(state, request, now) : [];
  return [...shed, ...placed];
}

/** Counts the requests of a tier that an agent has room for, as it last reported. */
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
 * Asks an agent that has room for requests that wait for it, in their turn.
 *
 * @param leastRoom room that is known of besides what the agent last reported
 */
export function retryParked(
  state: entryState.EntryState,
  agent: entryState.AgentView,
  now: number,
  leastRoom = 0,
): Effects {
  const usable = candidates.listUsable(state, agent.service, now).includes(agent);
  if (!usable || entryState.isBehind(state, agent.service, now)) {
    return [];
  }
  const { parked } = entryState.getService(state, agent.service);
  const effects: Effects = [];
  for (let woken = 0; woken < MAX_WOKEN; woken += 1) {
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
    request.unreachableBy.delete(agent.backendServerId);
    request.askMoreMs = now + ASK_MORE_MS;
    accounts.updateDue(state, request, now);
    effects.push(...asking.askAgent(state, request, agent, now));
  }
  return effects;
}

/** Asks every agent that has room for requests that wait for it. */
export function retryAllParked(
  state: entryState.EntryState,
  service: string,
  now: number,
): Effects {
  return candidates
    .listUsable(state, service, now)
    .flatMap((agent) => retryParked(state, agent, now));
}

/** Asks for a place in the stead of one that was lost. */
export function askAgain(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const waits = request.status === entryState.RequestStatus.WAITING && request.retryAtMs === 0;
  return waits ? place(state, request, now) : [];
}

/** Puts a request that was not run back to waiting and tries other agents. */
export function placeAgain(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  beginAgain(state, request, now);
  return [
    ...shedding.shedOverflow(state, accounts.getServiceOf(state, request), now),
    ...(isIdle(state, request) ? place(state, request, now) : []),
  ];
}

/** Tells whether a held request waits with no agent asked. */
function isIdle(state: entryState.EntryState, request: entryState.EntryRequest): boolean {
  return (
    state.requests.has(request.requestId) &&
    request.status === entryState.RequestStatus.WAITING &&
    request.reservedAt.size === 0
  );
}

/** Puts a request back to waiting, without its last target. */
export function beginAgain(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): void {
  if (request.target !== undefined) {
    request.refusedBy.add(request.target.backendServerId);
    request.replaceable.push(request.target.ref);
  }
  accounts.getServiceOf(state, request).withdrawnIds.delete(request.requestId);
  accounts.releaseTarget(state, request);
  request.head = undefined;
  request.collected = [];
  accounts.beginWaiting(state, request, now);
}
