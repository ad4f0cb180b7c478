/** Takes in what gateways ask the scheduler of a cell for. */
import * as schema from '@toucanproxy/schema';
import * as cells from './cell.js';
import * as enginePace from './engine-pace.js';
import * as firstDelay from './first-delay.js';
import * as rateLimit from './rate-limit.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as serverHealth from './server-health.js';
import * as waitQueue from './wait-queue.js';
import * as waiting from './waiting.js';

/** Gets what is known of a gateway; one that has restarted begins anew. */
function getAsker(cell: cells.Cell, ask: schema.ScheduleAsk, now: number): cells.CellAsker {
  const known = cell.askers.get(ask.address);
  if (known?.life === ask.life) {
    return known;
  }
  if (known !== undefined) {
    dropRequests(cell, known);
  }
  const asker: cells.CellAsker = {
    life: ask.life,
    failureDomain: ask.failureDomain,
    sequence: 0,
    heardMs: now,
    inFlight: new Map(),
    backoffs: new Map(),
    openGrants: [],
    requests: new Map(),
    reply: cells.makeReply(),
  };
  cell.askers.set(ask.address, asker);
  return asker;
}

/** Forgets a request. */
export function dropRequest(
  cell: cells.Cell,
  asker: cells.CellAsker,
  request: scheduledRequest.ScheduledRequest,
): void {
  waitQueue.removeItem(cell.queue, request.id);
  cell.requests.delete(request.id);
  asker.requests.delete(request.serial);
}

/** Forgets all requests of a gateway. */
export function dropRequests(cell: cells.Cell, asker: cells.CellAsker): void {
  [...asker.requests.values()].forEach((request) => dropRequest(cell, asker, request));
}

/** Notes what a gateway saw of a backend server. */
function noteObservation(
  cell: cells.Cell,
  { serverId, kind, ms }: schema.ServerObservation,
  now: number,
): void {
  const load = cells.getServerHealth(cell, serverId);
  switch (kind) {
    case schema.ServerObservation_Kind.FIRST_EVENT:
      firstDelay.recordExtra(cell.firstDelay, ms, now);
      firstDelay.recordExtra(load.firstDelay, ms, now);
      break;
    case schema.ServerObservation_Kind.UNIT:
      enginePace.recordUnit(load.pace, ms, now);
      break;
    case schema.ServerObservation_Kind.GOOD_ANSWER:
    case schema.ServerObservation_Kind.FAILED_ANSWER:
      serverHealth.recordAnswer(load, kind === schema.ServerObservation_Kind.GOOD_ANSWER, now);
      break;
    case schema.ServerObservation_Kind.NOT_TAKEN:
      serverHealth.pauseServer(load, now);
      break;
    case schema.ServerObservation_Kind.UNREACHABLE:
      serverHealth.noteUnreachable(load, now);
      break;
    default:
  }
}

/** Brings what a gateway has in flight in line with what it tells. */
function applyInFlight(asker: cells.CellAsker, ask: schema.ScheduleAsk): void {
  asker.inFlight = new Map(ask.inFlight.map(({ serverId, requests }) => [serverId, requests]));
  asker.openGrants = asker.openGrants.filter(({ number }) => number > ask.lastGrant);
}

/** Takes in what backend servers have stated to a gateway. */
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
      const told = { serverId, perSecond: limit.perSecond, toldMs: now - limit.ageMs };
      rateLimit.applyTold(cell.rateLimits, told, now);
    }
  });
}

/** Makes the record of a request that a gateway asks a place for. */
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
  };
}

/** Turns a request away. */
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

/** Lets a request wait, or turns it away; asked again, it waits on. */
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
  if (!waiting.enqueueRequest(cell, request, now)) {
    refuseRequest(cell, asker, request, true, drawRandom, now);
    return;
  }
  cell.requests.set(request.id, request);
  asker.requests.set(request.serial, request);
  asker.reply.accepted.push(request.serial);
}

/**
 * Takes in an ask.
 *
 * A datagram that was overtaken by a later one tells nothing new of what is in
 * flight, and would bring back what has ended; its requests are asked for again.
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
  cell.askedMs = now;
  applyInFlight(asker, ask);
  applyStatements(cell, asker, ask, now);
  ask.observations.forEach((one) => noteObservation(cell, one, now));
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
