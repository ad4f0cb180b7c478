/**
 * What the schedulers of cells are told, and when.
 *
 * All that this gateway has in flight travels with each ask, and what was not answered
 * is asked again: asks that are lost, doubled or late cost time only.
 */
import * as schema from '@toucanproxy/schema';
import * as allowedDomains from './allowed-domains.js';
import * as pendingAsks from './pending-asks.js';
import * as cellMap from './cell-map.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as schedulerLink from './scheduler-link.js';
import * as schedulerRanking from './scheduler-ranking.js';
import * as serverStatements from './server-statements.js';

/** An ask and the scheduler that it is for. */
export type AddressedAsk = { to: string; ask: schema.ScheduleAsk };

/**
 * An ask that was not answered is sent again after this time, milliseconds: several
 * times what a datagram and its answer take within a region. Not sent again, the word
 * of the last end would be lost with its datagram, and its place stay empty until the
 * scheduler forgets the gateway.
 */
const RESEND_MS = 60;
/**
 * A scheduler that answers nothing for this time is silent, milliseconds. A gateway with
 * a quarter of a core stands still for up to 75 ms of each 100, and one datagram may be
 * lost; callers of the most urgent kinds give 400 ms.
 */
const SILENCE_MS = 200;
/** How often a scheduler is told of what waits, and of what is in flight, milliseconds. */
const WAITING_MS = 100;
const IN_FLIGHT_MS = 250;
/** Requests, and numbers of requests, in one ask, so that it fits 1,400 bytes. */
const MAX_REQUESTS = 8;
const MAX_SERIALS = 48;
const MAX_OBSERVATIONS = 12;
const MAX_STATEMENTS = 8;

/** Lists what this gateway has in flight at the backend servers of a cell. */
function listInFlight(
  state: gatewayState.GatewayState,
  { cell, service }: schedulerLink.SchedulerLink,
  now: number,
): { serverId: string; requests: number }[] {
  const { cellByServer } = pendingAsks.getServiceCells(state, service, now);
  return [...state.inFlight]
    .filter(([serverId]) => cellByServer.get(serverId) === cell)
    .map(([serverId, requests]) => ({ serverId, requests }));
}

/** Lists the statements of a cell's backend servers that its scheduler gets. */
function listStatements(
  { servers, cellMap: split }: gatewayState.GatewayState,
  { cell, service }: schedulerLink.SchedulerLink,
  now: number,
): schema.ServerStatement[] {
  return [...servers.statements]
    .filter(([id, statement]) => {
      const bornMs = servers.byId.get(id)?.entry.bornMs;
      const isOfLife = bornMs !== undefined && serverStatements.isAbout(statement, bornMs);
      const isInCell = cellMap.findServerCell(split, service, id) === cell;
      return isOfLife && isInCell && serverStatements.isReported(statement, now);
    })
    .map(([serverId, { bornMs, sentWallMs, leavingSinceMs, backoffUntilMs, rateLimit }]) =>
      schema.create(schema.ServerStatementSchema, {
        serverId,
        bornMs: servers.byId.get(serverId)?.entry.bornMs ?? bornMs,
        sentWallMs,
        isLeaving: leavingSinceMs !== undefined,
        backoffLeftMs: Math.max(backoffUntilMs - now, 0),
        rateLimit: rateLimit && {
          perSecond: rateLimit.perSecond,
          ageMs: now - rateLimit.statedMs,
        },
      }),
    );
}

/** Takes the next few statements for the scheduler of a cell: all of them in turn. */
function takeStatements(
  link: schedulerLink.SchedulerLink,
  all: readonly schema.ServerStatement[],
): schema.ServerStatement[] {
  const from = all.length === 0 ? 0 : link.statementsSent % all.length;
  const taken = [...all.slice(from), ...all.slice(0, from)].slice(0, MAX_STATEMENTS);
  link.statementsSent += taken.length;
  return taken;
}

/** Describes a request that asks for a place. */
function buildWaiting(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): schema.WaitingRequest {
  const { arrived, serial, workspace, urgency, isBeyondQuota, isBelated, workTokens } = request;
  const { tokens, answerGuess } = arrived;
  return schema.create(schema.WaitingRequestSchema, {
    serial,
    attemptId: arrived.attemptId,
    workspace,
    urgency,
    isBeyondQuota,
    isBelated,
    workTokens,
    promptTokens: tokens?.prompt ?? 0,
    answerTokens: Math.min(answerGuess ?? tokens?.answer ?? 0, tokens?.answer ?? 0),
    targetLeftMs: Math.round(request.targetMs - now),
    leaveLeftMs: Math.round(request.leaveMs - now),
    giveUpLeftMs: Math.round(request.giveUpMs - now),
    waitedMs: Math.round(now - request.arrivedMs),
    triedIds: [...request.triedIds],
    excludedDomains: allowedDomains.listExcluded(state, request.regions),
  });
}

/** Takes the requests of a link that are to be asked for now. */
function takeAskable(
  state: gatewayState.GatewayState,
  { asks }: schedulerLink.SchedulerLink,
  now: number,
): gatewayRequest.GatewayRequest[] {
  return [...asks].flatMap(([serial, ask]) => {
    const request = state.requests.get(serial);
    if (request === undefined || ask.isAccepted || now - ask.askedMs < RESEND_MS) {
      return [];
    }
    ask.askedMs = now;
    return [request];
  });
}

/** Builds what the scheduler of a cell is told now: several asks where one is too small. */
function buildAsks(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): schema.ScheduleAsk[] {
  const requests = takeAskable(state, link, now);
  const inFlight = listInFlight(state, link, now);
  const statements = listStatements(state, link, now);
  const accepted = [...link.asks].filter(([, { isAccepted }]) => isAccepted);
  const asks: schema.ScheduleAsk[] = [];
  do {
    schedulerLink.noteSent(link, now);
    state.schedulingTotals.asks += 1;
    asks.push(
      schema.create(schema.ScheduleAskSchema, {
        address: state.address,
        life: state.life,
        sequence: link.sequence,
        cell: link.cell,
        failureDomain: state.failureDomain,
        requests: requests.splice(0, MAX_REQUESTS).map((one) => buildWaiting(state, one, now)),
        waiting: accepted.splice(0, MAX_SERIALS).map(([serial]) => serial),
        withdrawn: link.withdrawn.splice(0, MAX_SERIALS),
        inFlight,
        lastGrant: link.lastGrant,
        observations: link.observations.splice(0, MAX_OBSERVATIONS),
        statements: takeStatements(link, statements),
      }),
    );
  } while (requests.length > 0);
  return asks;
}

/** Turns to the scheduler that is to be asked now. */
function updateScheduler(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): void {
  const { unansweredMs } = link;
  if (unansweredMs !== undefined && now - unansweredMs > SILENCE_MS) {
    schedulerRanking.markUnreachable(state.ranking, link.address, now);
  }
  const { address } = pendingAsks.chooseScheduler(state, link.cell, now);
  if (address !== link.address) {
    schedulerLink.setScheduler(link, address);
    state.schedulingTotals.schedulersLeft += 1;
  }
}

/** Tells whether something is to be told to the scheduler of a cell now. */
function isTellingDue(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): boolean {
  if (link.isDirty) {
    return true;
  }
  const sinceMs = now - link.lastSentMs;
  const isUnaccepted = [...link.asks.values()].some(({ isAccepted }) => !isAccepted);
  return (
    ((isUnaccepted || link.unansweredMs !== undefined) && sinceMs >= RESEND_MS) ||
    (link.asks.size > 0 && sinceMs >= WAITING_MS) ||
    (sinceMs >= IN_FLIGHT_MS && listInFlight(state, link, now).length > 0)
  );
}

/** Asks elsewhere for what waits in a cell that is no more. */
function dropLink(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): void {
  state.links.delete(link.cell);
  [...link.asks.keys()]
    .map((serial) => state.requests.get(serial))
    .filter((request) => request !== undefined)
    .forEach((request) => pendingAsks.askPlace(state, request, now));
}

/** Collects what the schedulers are to be told now. */
export function collectAsks(state: gatewayState.GatewayState, now: number): AddressedAsk[] {
  [...state.links.values()]
    .filter(
      ({ service, cell }) =>
        !pendingAsks.getServiceCells(state, service, now).cellNames.includes(cell),
    )
    .forEach((link) => dropLink(state, link, now));
  return [...state.links.values()].flatMap((link) => {
    updateScheduler(state, link, now);
    if (!isTellingDue(state, link, now)) {
      return [];
    }
    const to = link.address;
    return buildAsks(state, link, now).map((ask) => ({ to, ask }));
  });
}
