/**
 * Builds the asks (`ScheduleAsk` messages to the schedulers of cells) and decides when to send
 * them.
 *
 * Each ask reports all requests that this gateway has in flight in the cell, and asks without
 * a reply are sent again. Asks that are lost, duplicated or late therefore only cost time.
 */
import * as schema from '@toucanproxy/schema';
import * as allowedDomains from './allowed-domains.js';
import * as pendingAsks from './pending-asks.js';
import * as cellMap from './cell-map.js';
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as recentUse from './recent-use.js';
import * as schedulerLink from './scheduler-link.js';
import * as schedulerRanking from './scheduler-ranking.js';
import * as serverStatements from './server-statements.js';
import * as workInFlight from './work-in-flight.js';

/** An ask and the address of the scheduler that it is for. */
export type AddressedAsk = { to: string; ask: schema.ScheduleAsk };

/**
 * An ask without a reply is sent again after this time, in milliseconds: several times the
 * round trip of a datagram within a region. Otherwise, if the datagram that reports the end of
 * the last request were lost, the slot of that request would stay empty until the scheduler
 * forgets the gateway.
 */
const RESEND_MS = 60;
/**
 * A scheduler counts as unreachable after this time without a reply, in milliseconds. A gateway
 * with a quarter of a core is paused for up to 75 ms of every 100 ms, and one datagram may be
 * lost; callers of the most urgent kinds wait 400 ms.
 */
const REPLY_TIMEOUT_MS = 200;
/** Maximum time between asks while requests wait, and while some are in flight, in milliseconds. */
const WAITING_INTERVAL_MS = 100;
const IN_FLIGHT_INTERVAL_MS = 250;
/**
 * Minimum time between reports of recent use to one cell, in milliseconds: a tenth of the time in
 * which recent use decays, so that the reports are a small part of the control traffic.
 */
const USE_INTERVAL_MS = 500;
/** Maximum number of items of each kind in one ask, so that it fits in 1,400 bytes. */
const MAX_REQUESTS = 8;
const MAX_SERIALS = 48;
const MAX_OBSERVATIONS = 12;
const MAX_STATEMENTS = 8;
/** The same for requests in an ask that reports recent use; such an ask carries no statements. */
const MAX_REQUESTS_WITH_USE = 5;
/** Characters of a caller's id that are sent; schedulers use it for their log only. */
const MAX_ID_LENGTH = 64;

/** Lists the backend servers of a cell at which this gateway has requests in flight. */
function listUsedServers(
  state: gatewayState.GatewayState,
  { cell, service }: schedulerLink.SchedulerLink,
  now: number,
): string[] {
  const { cellByServer } = pendingAsks.getServiceCells(state, service, now);
  return [...state.inFlight.keys()].filter((serverId) => cellByServer.get(serverId) === cell);
}

/** Sums up this gateway's requests in flight at each backend server of a cell. */
function listInFlight(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): schema.ServerUse[] {
  const work = workInFlight.countWork(state.requests.values(), now);
  return listUsedServers(state, link, now).map((serverId) =>
    schema.create(schema.ServerUseSchema, {
      serverId,
      requests: state.inFlight.get(serverId),
      ...(work.get(serverId) ?? workInFlight.NO_WORK),
    }),
  );
}

/** Lists the statements of a cell's backend servers that are sent to its scheduler. */
function listStatements(
  { servers, cellMap: knownCells }: gatewayState.GatewayState,
  { cell, service }: schedulerLink.SchedulerLink,
  now: number,
): schema.ServerStatement[] {
  return [...servers.statements]
    .filter(([id, statement]) => {
      const bornMs = servers.byId.get(id)?.entry.bornMs;
      const isAboutPresentLife =
        bornMs !== undefined && serverStatements.isAboutLife(statement, bornMs);
      const isInCell = cellMap.findServerCell(knownCells, service, id) === cell;
      return isAboutPresentLife && isInCell && serverStatements.isReportable(statement, now);
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

/** Takes the statements for the next ask, in rotation through all of them. */
function takeStatements(
  link: schedulerLink.SchedulerLink,
  all: readonly schema.ServerStatement[],
): schema.ServerStatement[] {
  const from = all.length === 0 ? 0 : link.statementsSent % all.length;
  const taken = [...all.slice(from), ...all.slice(0, from)].slice(0, MAX_STATEMENTS);
  link.statementsSent += taken.length;
  return taken;
}

/** Builds the description of a request that waits for a slot. */
function buildWaiting(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): schema.WaitingRequest {
  const { arrived, serial, workspace, urgency, isBeyondQuota, isBelated, workTokens } = request;
  const { tokens, answerGuess } = arrived;
  return schema.create(schema.WaitingRequestSchema, {
    serial,
    attemptId: arrived.attemptId.slice(0, MAX_ID_LENGTH),
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
    share: state.index?.shareByWorkspace.get(workspace),
    softwareVersion: request.streamVersion,
  });
}

/** Takes the requests of a link that the next asks must contain, and records the time. */
function takeUnaccepted(
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

/**
 * Lists the recent use of the service by workspaces if the next ask must report it. Where nothing
 * waits in the cell, the order of workspaces does not matter.
 */
function takeRecentUse(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): schema.RecentUse[] {
  const isContended = link.asks.size > 0 || link.load >= link.places;
  if (!isContended || now - link.useReportedMs < USE_INTERVAL_MS) {
    return [];
  }
  const { use } = gatewayState.getServiceState(state, link.service);
  const listed = recentUse.listRecentUse(use, state.index?.shareByWorkspace, now);
  link.useReportedMs = now;
  state.schedulingTotals.useReports += Number(listed.length > 0);
  return listed;
}

/** Builds the asks for the scheduler of a cell: several if not all requests fit in one. */
function buildAsks(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): schema.ScheduleAsk[] {
  const requests = takeUnaccepted(state, link, now);
  const { use } = gatewayState.getServiceState(state, link.service);
  requests.forEach(({ workspace }) => recentUse.noteAsk(use, workspace, now));
  const inFlight = listInFlight(state, link, now);
  const statements = listStatements(state, link, now);
  const accepted = [...link.asks].filter(([, { isAccepted }]) => isAccepted);
  const asks: schema.ScheduleAsk[] = [];
  do {
    schedulerLink.noteSent(link, now);
    state.schedulingTotals.asks += 1;
    const reportedUse = takeRecentUse(state, link, now);
    const reportsUse = reportedUse.length > 0;
    const maxRequests = reportsUse ? MAX_REQUESTS_WITH_USE : MAX_REQUESTS;
    asks.push(
      schema.create(schema.ScheduleAskSchema, {
        address: state.address,
        life: state.life,
        sequence: link.sequence,
        cell: link.cell,
        failureDomain: state.failureDomain,
        requests: requests.splice(0, maxRequests).map((one) => buildWaiting(state, one, now)),
        waiting: accepted.splice(0, MAX_SERIALS).map(([serial]) => serial),
        withdrawn: link.withdrawn.splice(0, MAX_SERIALS),
        inFlight,
        lastGrant: link.lastGrant,
        observations: link.observations.splice(0, MAX_OBSERVATIONS),
        statements: reportsUse ? [] : takeStatements(link, statements),
        replyMs: link.replyMs,
        recentUse: reportedUse,
      }),
    );
  } while (requests.length > 0);
  return asks;
}

/** Switches a link to the present scheduler of its cell. */
function updateScheduler(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): void {
  const { unansweredMs } = link;
  if (unansweredMs !== undefined && now - unansweredMs > REPLY_TIMEOUT_MS) {
    schedulerRanking.markUnreachable(state.ranking, link.address, now);
  }
  const { address } = pendingAsks.chooseScheduler(state, link.cell, now);
  if (address !== link.address) {
    schedulerLink.setScheduler(link, address);
    state.schedulingTotals.schedulersLeft += 1;
  }
}

/** Returns whether an ask to the scheduler of a cell must be sent now. */
function isAskDue(
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
    (link.asks.size > 0 && sinceMs >= WAITING_INTERVAL_MS) ||
    (sinceMs >= IN_FLIGHT_INTERVAL_MS && listUsedServers(state, link, now).length > 0)
  );
}

/** Removes the link of a cell that no longer exists, and asks other cells for slots instead. */
function dropLink(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  now: number,
): void {
  state.links.delete(link.cell);
  [...link.asks.keys()]
    .map((serial) => state.requests.get(serial))
    .filter((request) => request !== undefined)
    .forEach((request) => {
      // Its slots are now in the remaining cells, also in those that have declined the request.
      request.declinedCells.clear();
      pendingAsks.askPlace(state, request, now);
    });
}

/** Collects the asks that must be sent now. */
export function collectAsks(state: gatewayState.GatewayState, now: number): AddressedAsk[] {
  [...state.links.values()]
    .filter(
      ({ service, cell }) =>
        !pendingAsks.getServiceCells(state, service, now).cellNames.includes(cell),
    )
    .forEach((link) => dropLink(state, link, now));
  return [...state.links.values()].flatMap((link) => {
    updateScheduler(state, link, now);
    if (!isAskDue(state, link, now)) {
      return [];
    }
    const to = link.address;
    return buildAsks(state, link, now).map((ask) => ({ to, ask }));
  });
}
