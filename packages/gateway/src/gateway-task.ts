/** The task that owns a gateway's state and the requests in hand. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as answerRelay from './answer-relay.js';
import * as backendAttempt from './backend-attempt.js';
import type * as backendConnections from './backend-connections.js';
import * as callerExchange from './caller-exchange.js';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import * as contentDigest from './content-digest.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as eventStream from './event-stream.js';
import type * as gatewayMetrics from './gateway-metrics.js';
import type * as heldRequest from './held-request.js';
import * as outgoingRequest from './outgoing-request.js';
import * as requestReports from './request-reports.js';
import type * as wireProtocol from './wire-protocol.js';

export type GatewayTask = {
  receive: (exchange: callerExchange.CallerExchange) => void;
  /** Assigns what can be assigned; called when something may have made room. */
  assign: () => void;
  countHeld: () => number;
  /** Calls once nothing is in hand. */
  notifyIdle: (idle: () => void) => void;
  start: () => void;
  stop: () => void;
};

export type GatewayTaskParts = {
  state: gateway.GatewayState;
  protocol: wireProtocol.WireProtocol;
  connections: backendConnections.BackendConnections;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
  metrics: gatewayMetrics.GatewayMetrics;
};

type TaskState = GatewayTaskParts & {
  held: Map<number, heldRequest.HeldRequest>;
  idle: (() => void) | undefined;
};

/** What is due by time alone is late by this much at most, milliseconds. */
const TICK_MS = 50;
const QUERY_START = '?';

/** Forgets a request whose final answer has been given. */
function forget(task: TaskState, held: heldRequest.HeldRequest): void {
  held.done = true;
  clearTimeout(held.giveUpTimer);
  task.held.delete(held.request.serial);
  if (task.held.size === 0) {
    task.idle?.();
  }
}

/** Gives a request its final answer: a refusal. */
function refuse(
  task: TaskState,
  held: heldRequest.HeldRequest,
  refusal: gateway.Refusal,
  fields: Record<string, unknown> = {},
): void {
  forget(task, held);
  const { code, retryAfterMs } = refusal;
  requestReports.reportEnd(task, held, code, { retryAfterMs, ...fields });
  callerExchange.sendRefusal(held.exchange, refusal);
}

/** Takes in how an attempt ended. */
function handleOutcome(
  task: TaskState,
  held: heldRequest.HeldRequest,
  outcome: answerRelay.AttemptOutcome,
): void {
  if (held.done) {
    return;
  }
  const { request } = held;
  const { serverId } = request;
  const clocks = task.readClocks();
  const now = clocks.steadyMs;
  held.attempt = undefined;
  if (outcome.kind === 'complete') {
    if (serverId !== undefined) {
      gateway.recordAnswer(gateway.getLoad(task.state, serverId), true, now);
    }
    gateway.noteWholeAnswer(task.state, request.arrived.hashContent, clocks);
    gateway.endRequest(task.state, request);
    forget(task, held);
    const fields = { server: serverId, status: outcome.status };
    requestReports.reportEnd(task, held, schema.ResultCode.COMPLETED, fields);
    assign(task);
    return;
  }
  const { fault, reason, failure } = outcome;
  const hasBegun = held.exchange.response.headersSent;
  const canGoOn = !hasBegun || held.events?.lastId !== undefined;
  const progress = { hasBegun, canGoOn };
  const { revision } = task.state.suspects;
  const verdict = gateway.handleAttemptFault(task.state, request, fault, progress, clocks);
  requestReports.reportFault(task, held, { serverId, fault, reason, verdict: verdict.kind }, now);
  if (task.state.suspects.revision !== revision) {
    requestReports.reportSuspects(task, serverId);
  }
  applyVerdict(task, held, verdict, failure);
  assign(task);
}

/** Carries out what was decided after a fault. */
function applyVerdict(
  task: TaskState,
  held: heldRequest.HeldRequest,
  verdict: gateway.AttemptVerdict,
  failure: Extract<answerRelay.AttemptOutcome, { kind: 'fault' }>['failure'],
): void {
  if (verdict.kind === 'refuse') {
    refuse(task, held, verdict.refusal);
    return;
  }
  if (verdict.kind === 'again') {
    return;
  }
  if (failure === undefined) {
    refuse(task, held, { code: schema.ResultCode.ENGINE_FAILED, retryAfterMs: undefined });
    return;
  }
  forget(task, held);
  requestReports.reportEnd(task, held, schema.ResultCode.ENGINE_FAILED, { status: failure.status });
  callerExchange.sendAnswer(held.exchange, failure, failure.body);
}

/** Sends a request to a backend server. */
function send(
  task: TaskState,
  held: heldRequest.HeldRequest,
  { server, candidates }: Extract<gateway.Assignment, { kind: 'send' }>,
): void {
  const { request } = held;
  requestReports.reportSent(task, held, server, candidates);
  const load = gateway.getLoad(task.state, server.id);
  if (held.events !== undefined) {
    held.events.rest = Buffer.alloc(0);
  }
  const readNow = () => task.readClocks().steadyMs;
  const listener = answerRelay.createRelay({
    held,
    protocol: task.protocol,
    readNow,
    settle: (outcome) => handleOutcome(task, held, outcome),
    observePace: (unitMs) => gateway.recordUnit(load.pace, unitMs, readNow()),
    observeFirstEvent: (ms) => {
      held.firstEventMs ??= Math.round(readNow() - request.arrivedMs);
      gateway.noteFirstEvent(task.state, request, ms, readNow());
      task.metrics.recordFirstEvent(request.route.name, ms);
    },
  });
  const connection = task.connections.take(server.address);
  held.attempt = backendAttempt.startAttempt(
    connection,
    outgoingRequest.buildOutgoing(task.protocol, held, server),
    listener,
  );
}

/** Assigns what can be assigned. */
function assign(task: TaskState): void {
  const assignments = gateway.assignWaiting(task.state, task.readClocks());
  assignments.forEach((assignment) => {
    const held = task.held.get(assignment.request.serial);
    if (held === undefined) {
      return;
    }
    if (assignment.kind === 'refuse') {
      refuse(task, held, assignment.refusal);
    } else {
      send(task, held, assignment);
    }
  });
}

/** Ends a request whose time is over. */
function giveUp(task: TaskState, held: heldRequest.HeldRequest): void {
  if (held.done) {
    return;
  }
  const { serverId: server } = held.request;
  const mayHaveRun = abandon(task, held);
  const code = mayHaveRun
    ? schema.ResultCode.DEADLINE_EXCEEDED
    : schema.ResultCode.DEADLINE_UNREACHABLE;
  refuse(task, held, { code, retryAfterMs: undefined }, { server, mayHaveRun });
  assign(task);
}

/** Cancels what runs for a request, and tells whether it may have run. */
function abandon(task: TaskState, held: heldRequest.HeldRequest): boolean {
  const mayHaveRun = held.request.runs > 0 || held.attempt?.mayHaveLeft() === true;
  held.attempt?.abort();
  gateway.abandonRequest(task.state, held.request, mayHaveRun);
  return mayHaveRun;
}

/** Ends a request whose caller has left: what runs for it is cancelled at once. */
function handleCallerLeft(task: TaskState, held: heldRequest.HeldRequest): void {
  if (held.done) {
    return;
  }
  const { serverId: server } = held.request;
  const mayHaveRun = abandon(task, held);
  forget(task, held);
  requestReports.reportEnd(task, held, schema.ResultCode.CLIENT_LEFT, { server, mayHaveRun });
  assign(task);
}

/** Refuses a request that was not taken in. */
function refuseArrived(
  task: TaskState,
  exchange: callerExchange.CallerExchange,
  attemptId: string,
  refusal: gateway.Refusal,
): void {
  requestReports.reportRefused(task, exchange, attemptId, refusal);
  callerExchange.sendRefusal(exchange, refusal);
}

/** Holds a request that was taken in. */
function hold(
  task: TaskState,
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
  held.giveUpTimer = setTimeout(() => giveUp(task, held), request.giveUpMs - request.arrivedMs);
  task.held.set(request.serial, held);
  exchange.response.on('close', () => handleCallerLeft(task, held));
  exchange.response.on('drain', () => held.attempt?.resume());
}

/** Takes in a request that has been read. */
function receive(task: TaskState, exchange: callerExchange.CallerExchange): void {
  const names = task.protocol.parseRequest(exchange.headers);
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
  assign(task);
}

/** Creates the task; it does nothing by time before it is started. */
export function createGatewayTask(parts: GatewayTaskParts): GatewayTask {
  const task: TaskState = { ...parts, held: new Map(), idle: undefined };
  let timer: NodeJS.Timeout | undefined;
  return {
    receive: (exchange) => receive(task, exchange),
    assign: () => assign(task),
    countHeld: () => task.held.size,
    notifyIdle: (idle) => {
      task.idle = idle;
      if (task.held.size === 0) {
        idle();
      }
    },
    start: () => {
      timer = setInterval(() => assign(task), TICK_MS);
    },
    stop: () => {
      clearInterval(timer);
      [...task.held.values()].forEach((held) => held.attempt?.abort());
    },
  };
}
