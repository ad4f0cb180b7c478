/** The task that owns a gateway's state and the requests in hand. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as attemptSending from './attempt-sending.js';
import * as callerExchange from './caller-exchange.js';
import * as contentDigest from './content-digest.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as eventStream from './event-stream.js';
import type * as heldRequest from './held-request.js';
import * as requestEnding from './request-ending.js';
import * as requestReports from './request-reports.js';
import * as statementReports from './statement-reports.js';
import type * as taskState from './task-state.js';

export type GatewayTask = {
  receive: (exchange: callerExchange.CallerExchange) => void;
  /** Assigns what can be assigned; called when something may have made room. */
  assign: () => void;
  /** Takes in what other gateways ask this one's scheduler, and what theirs answer. */
  receiveAsk: (ask: schema.ScheduleAsk) => void;
  receiveReply: (reply: schema.ScheduleReply) => void;
  countHeld: () => number;
  /** Calls once nothing is in hand. */
  notifyIdle: (idle: () => void) => void;
  start: () => void;
  stop: () => void;
};

/** What is due by time alone is late by this much at most, milliseconds. */
const TICK_MS = 50;
const QUERY_START = '?';

/** Sends and refuses requests as was decided. */
function applyAssignments(
  task: taskState.TaskState,
  assignments: readonly gateway.Assignment[],
): void {
  assignments.forEach((assignment) => {
    const held = task.held.get(assignment.request.serial);
    if (held === undefined) {
      return;
    }
    switch (assignment.kind) {
      case 'refuse':
        requestEnding.refuse(task, held, assignment.refusal);
        break;
      case 'waitOn':
        requestReports.reportUnused(task, assignment);
        break;
      default:
        attemptSending.send(task, held, assignment);
    }
  });
}

/** Does what can be done now. */
function assignNow(task: taskState.TaskState): void {
  const { assignments, outgoing, notes } = gateway.advance(task.state, task.readClocks());
  task.sendToPeers(outgoing);
  requestReports.reportScheduled(task, notes);
  applyAssignments(task, assignments);
}

/**
 * Creates the function that assigns once for all that comes in one turn of the event
 * loop: a burst would otherwise cost a datagram for each request and each end of one.
 */
function createAssign(task: taskState.TaskState): () => void {
  let isDue = false;
  return () => {
    if (!isDue) {
      isDue = true;
      setImmediate(() => {
        isDue = false;
        assignNow(task);
      });
    }
  };
}

/** Takes in what a scheduler answers. */
function receiveReply(task: taskState.TaskState, reply: schema.ScheduleReply): void {
  applyAssignments(task, gateway.applyReply(task.state, reply, task.readClocks()));
  task.assign();
}

/** Takes in what a gateway asks this one's scheduler. */
function receiveAsk(task: taskState.TaskState, ask: schema.ScheduleAsk): void {
  const now = task.readClocks().steadyMs;
  const changes = gateway.receiveAsk(task.state, ask, now);
  statementReports.reportStatements(task.log, changes, ask.address, now);
  task.assign();
}

/** Refuses a request that was not taken in. */
function refuseArrived(
  task: taskState.TaskState,
  exchange: callerExchange.CallerExchange,
  attemptId: string,
  refusal: gateway.Refusal,
): void {
  requestReports.reportRefused(task, exchange, attemptId, refusal);
  callerExchange.sendRefusal(exchange, refusal);
}

/** Holds a request that was taken in. */
function hold(
  task: taskState.TaskState,
  exchange: callerExchange.CallerExchange,
  request: gateway.GatewayRequest,
): void {
  const isStream = request.route.kind === gateway.RouteKind.STREAM;
  const held: heldRequest.HeldRequest = {
    request,
    exchange,
    attempt: undefined,
    giveUpTimer: undefined,
    events: isStream ? eventStream.createEventStream() : undefined,
    firstEventMs: undefined,
    done: false,
  };
  held.giveUpTimer = setTimeout(
    () => requestEnding.giveUp(task, held),
    request.giveUpMs - request.arrivedMs,
  );
  task.held.set(request.serial, held);
  exchange.response.on('close', () => requestEnding.handleCallerLeft(task, held));
  exchange.response.on('drain', () => held.attempt?.resume());
}

/** Takes in a request that has been read. */
function receive(task: taskState.TaskState, exchange: callerExchange.CallerExchange): void {
  const names = task.protocol.parseRequestHeaders(exchange.headers);
  const host = endToEndHeaders.findHeader(exchange.headers, 'host');
  if (names === undefined || host === undefined) {
    const code = schema.ResultCode.MALFORMED_REQUEST;
    refuseArrived(task, exchange, '', { code, retryAfterMs: undefined });
    return;
  }
  const [path] = exchange.target.split(QUERY_START);
  const hashContent = () => contentDigest.hashContent(exchange);
  const arrived = { ...names, host, path, hashContent };
  const intake = gateway.admitRequest(task.state, arrived, task.readClocks());
  if (intake.kind === 'refused') {
    refuseArrived(task, exchange, names.attemptId, intake.refusal);
    return;
  }
  hold(task, exchange, intake.request);
  task.assign();
}

/** Creates the task; it does nothing by time before it is started. */
export function createGatewayTask(parts: taskState.GatewayTaskParts): GatewayTask {
  const task: taskState.TaskState = {
    ...parts,
    held: new Map(),
    idle: undefined,
    assign: () => {},
  };
  task.assign = createAssign(task);
  let timer: NodeJS.Timeout | undefined;
  return {
    receive: (exchange) => receive(task, exchange),
    assign: () => task.assign(),
    receiveAsk: (ask) => receiveAsk(task, ask),
    receiveReply: (reply) => receiveReply(task, reply),
    countHeld: () => task.held.size,
    notifyIdle: (idle) => {
      task.idle = idle;
      if (task.held.size === 0) {
        idle();
      }
    },
    start: () => {
      timer = setInterval(() => assignNow(task), TICK_MS);
    },
    stop: () => {
      clearInterval(timer);
      [...task.held.values()].forEach((held) => held.attempt?.abort());
    },
  };
}
