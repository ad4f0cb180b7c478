/** Handles the `ScheduleAsk` messages that gateways send to the scheduler of a cell. */
import * as schema from '@toucanproxy/schema';
import * as cells from './cell.js';
import * as enginePace from './engine-pace.js';
import * as addedLatency from './added-latency.js';
import * as rateLimit from './rate-limit.js';
import * as recentUse from './recent-use.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as serverHealth from './server-health.js';
import * as serverWork from './server-work.js';
import * as waitQueue from './wait-queue.js';
import * as waiting from './waiting.js';
import * as workspaceShares from './workspace-shares.js';

/** Returns the state of a gateway; creates it if the gateway is new or has restarted. */
function getAsker(cell: cells.Cell, ask: schema.ScheduleAsk, now: number): cells.CellAsker {
  const known = cell.askers.get(ask.address);
  if (known?.life === ask.life) {
    return known;
  }
  if (known !== undefined) {
    dropRequests(cell, known);
    dropUse(cell, known, now);
  }
  const asker: cells.CellAsker = {
    life: ask.life,
    failureDomain: ask.failureDomain,
    sequence: 0,
    heardMs: now,
    replyMs: 0,
    inFlight: new Map(),
    work: new Map(),
    reportsWork: true,
    backoffs: new Map(),
    unreportedGrants: [],
    recentUse: [],
    recentUseMs: now,
    requests: new Map(),
    reply: cells.createPendingReply(),
  };
  cell.askers.set(ask.address, asker);
  return asker;
}

/** Removes a waiting request. */
export function dropRequest(
  cell: cells.Cell,
  asker: cells.CellAsker,
  request: scheduledRequest.ScheduledRequest,
): void {
  waitQueue.removeItem(cell.queue, request.id);
  cell.requests.delete(request.id);
  asker.requests.delete(request.serial);
}

/** Removes all waiting requests of a gateway. */
export function dropRequests(cell: cells.Cell, asker: cells.CellAsker): void {
  [...asker.requests.values()].forEach((request) => dropRequest(cell, asker, request));
}

/** Removes what a gateway reported of the recent use by its workspaces. */
export function dropUse(cell: cells.Cell, asker: cells.CellAsker, now: number): void {
  recentUse.applyReport(cell.recentUse, asker.recentUse, asker.recentUseMs, [], now);
}

/** Replaces what a gateway reported of the recent use by its workspaces, if it reports it again. */
function applyUse(
  cell: cells.Cell,
  asker: cells.CellAsker,
  ask: schema.ScheduleAsk,
  now: number,
): void {
  const next = recentUse.listReported(ask.recentUse);
  if (next.length > 0) {
    recentUse.applyReport(cell.recentUse, asker.recentUse, asker.recentUseMs, next, now);
    asker.recentUse = next;
    asker.recentUseMs = now;
  }
}

/** Records the time to a first event: its prediction error and, if nothing was ahead, the speed. */
function recordFirstEvent(
  cell: cells.Cell,
  { serverId, ms, promptTokens, aheadMs, totalMs }: schema.ServerObservation,
  now: number,
): void {
  const health = cells.getServerHealth(cell, serverId);
  addedLatency.recordAddedLatency(cell.addedLatency, ms - aheadMs, now);
  addedLatency.recordAddedLatency(health.addedLatency, ms - aheadMs, now);
  if (totalMs > 0 && aheadMs === 0) {
    const paces = [...cell.healthByServer.values()].map(({ pace }) => pace);
    const fastestMs = enginePace.findShortestUnitMs(paces);
    const slowness = enginePace.estimateSlowness(health.pace, fastestMs, now);
    serverWork.recordFirstEvent(cell.promptSpeed, promptTokens, totalMs, slowness);
  }
}

/** Records what a gateway observed at a backend server. */
function recordObservation(
  cell: cells.Cell,
  observation: schema.ServerObservation,
  now: number,
): void {
  const { serverId, kind, ms } = observation;
  const health = cells.getServerHealth(cell, serverId);
  switch (kind) {
    case schema.ServerObservation_Kind.FIRST_EVENT:
      recordFirstEvent(cell, observation, now);
      break;
    case schema.ServerObservation_Kind.UNIT:
      enginePace.recordUnitTime(health.pace, ms, now);
      break;
    case schema.ServerObservation_Kind.GOOD_ANSWER:
    case schema.ServerObservation_Kind.FAILED_ANSWER:
      serverHealth.recordAnswer(health, kind === schema.ServerObservation_Kind.GOOD_ANSWER, now);
      break;
    case schema.ServerObservation_Kind.NOT_TAKEN:
      serverHealth.pauseServer(health, now);
      break;
    case schema.ServerObservation_Kind.UNREACHABLE:
      serverHealth.noteUnreachable(health, now);
      break;
    default:
  }
}

/**
 * Replaces the requests in flight and the reply time of a gateway by those it reports, and drops
 * reported grants.
 */
function applyInFlight(asker: cells.CellAsker, ask: schema.ScheduleAsk): void {
  asker.replyMs = Number.isFinite(ask.replyMs) ? Math.max(ask.replyMs, 0) : 0;
  asker.inFlight = new Map(ask.inFlight.map(({ serverId, requests }) => [serverId, requests]));
  asker.work = new Map(
    ask.inFlight.map(({ serverId, unreadTokens = 0, answerTokens = 0 }) => [
      serverId,
      { unreadTokens, answerTokens },
    ]),
  );
  asker.reportsWork = ask.inFlight.every(({ unreadTokens }) => unreadTokens !== undefined);
  asker.unreportedGrants = asker.unreportedGrants.filter(({ number }) => number > ask.lastGrant);
}

/** Applies the backoffs and rate limits that backend servers have stated to a gateway. */
function applyStatements(
  cell: cells.Cell,
  { backoffs }: cells.CellAsker,
  { statements }: schema.ScheduleAsk,
  now: number,
): void {
  backoffs.forEach((untilMs, serverId) => {
    if (untilMs <= now) {
      backoffs.delete(serverId);
    }
  });
  statements.forEach(({ serverId, backoffLeftMs, rateLimit: limit }) => {
    if (backoffLeftMs > 0) {
      backoffs.set(serverId, now + backoffLeftMs);
    }
    if (limit !== undefined) {
      const reported = { serverId, perSecond: limit.perSecond, statedMs: now - limit.ageMs };
      rateLimit.applyReportedLimit(cell.rateLimits, reported, now);
    }
  });
}

/** Creates the record of a request for which a gateway asks for a slot. */
function makeRequest(
  cell: cells.Cell,
  address: string,
  { failureDomain }: cells.CellAsker,
  asked: schema.WaitingRequest,
  now: number,
): scheduledRequest.ScheduledRequest {
  const id = cell.nextId;
  cell.nextId += 1;
  const { serial, attemptId, workspace, urgency, isBeyondQuota, isBelated } = asked;
  const { workTokens, promptTokens, answerTokens } = asked;
  return {
    id,
    asker: address,
    serial,
    attemptId,
    workspace,
    share: workspaceShares.readShare(asked.share),
    failureDomain,
    urgency,
    isBeyondQuota,
    isBelated,
    workTokens,
    promptTokens,
    answerTokens,
    arrivedMs: now - asked.waitedMs,
    targetMs: now + asked.targetLeftMs,
    leaveMs: now + asked.leaveLeftMs,
    giveUpMs: now + asked.giveUpLeftMs,
    triedIds: new Set(asked.triedIds),
    excludedDomains: new Set(asked.excludedDomains),
    softwareVersion: asked.softwareVersion,
  };
}

/** Adds the refusal of a request to the reply to its gateway. */
export function refuseRequest(
  cell: cells.Cell,
  asker: cells.CellAsker,
  { serial }: { serial: number },
  isOnArrival: boolean,
  drawRandom: () => number,
  now: number,
): void {
  const retryAfterMs = Math.round(waiting.drawRetryAfter(cell, drawRandom, now));
  asker.reply.refusals.push({ serial, isOnArrival, retryAfterMs });
}

/** Queues or refuses a request; one that is already queued is accepted again. */
function addRequest(
  cell: cells.Cell,
  address: string,
  asker: cells.CellAsker,
  asked: schema.WaitingRequest,
  drawRandom: () => number,
  now: number,
): void {
  if (asker.requests.has(asked.serial)) {
    asker.reply.accepted.push(asked.serial);
    return;
  }
  const request = makeRequest(cell, address, asker, asked, now);
  recentUse.updateElsewhere(cell.recentUse, cell.queue, request, now);
  if (!waiting.enqueueRequest(cell, request, now)) {
    refuseRequest(cell, asker, request, true, drawRandom, now);
    return;
  }
  cell.requests.set(request.id, request);
  asker.requests.set(request.serial, request);
  asker.reply.accepted.push(request.serial);
}

/**
 * Handles a `ScheduleAsk`.
 *
 * A datagram that arrives after a later one is ignored, because its report of the requests in
 * flight is outdated and would restore those that have ended. The gateway resends the requests
 * that were not accepted.
 */
export function receiveAsk(
  cell: cells.Cell,
  ask: schema.ScheduleAsk,
  drawRandom: () => number,
  now: number,
): void {
  const asker = getAsker(cell, ask, now);
  if (ask.sequence <= asker.sequence) {
    return;
  }
  asker.sequence = ask.sequence;
  asker.heardMs = now;
  asker.reply.isDue = true;
  cell.lastAskMs = now;
  applyInFlight(asker, ask);
  applyUse(cell, asker, ask, now);
  applyStatements(cell, asker, ask, now);
  ask.observations.forEach((one) => recordObservation(cell, one, now));
  ask.withdrawn.forEach((serial) => {
    const request = asker.requests.get(serial);
    if (request !== undefined) {
      dropRequest(cell, asker, request);
    }
  });
  ask.requests.forEach((one) => addRequest(cell, ask.address, asker, one, drawRandom, now));
  const unknown = ask.waiting.filter((serial) => !asker.requests.has(serial));
  asker.reply.unknown.push(...unknown);
}
