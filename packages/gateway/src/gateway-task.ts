/** The task that owns a gateway's state and the requests in progress. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as attemptSending from './attempt-sending.js';
import * as callerExchange from './caller-exchange.js';
import * as contentDigest from './content-digest.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as failureGuard from './failure-guard.js';
import * as eventStream from './event-stream.js';
import * as heldRequest from './held-request.js';
import * as requestEnding from './request-ending.js';
import * as requestReports from './request-reports.js';
import * as statementReports from './statement-reports.js';
import type * as taskState from './task-state.js';
import * as timeSlices from './time-slices.js';

export type GatewayTask = {
  receive: (exchange: callerExchange.CallerExchange) => void;
  /** Schedules an assignment pass; called when a waiting request may have become assignable. */
  assign: () => void;
  /** Handle what other gateways ask the scheduler here, and the replies of their schedulers. */
  receiveAsk: (ask: schema.ScheduleAsk) => void;
  receiveReply: (reply: schema.ScheduleReply) => void;
  /** Handle which versions began streams, and the queries for them. */
  receiveOrigins: (origins: schema.StreamOrigins) => void;
  receiveOriginQuery: (query: schema.StreamOriginQuery) => void;
  /** Handles runs that ended without a response at other gateways. */
  receiveLostRuns: (lostRuns: schema.LostRuns) => void;
  /** Counts the requests in progress by phase. */
  countPhases: () => heldRequest.PhaseCounts;
  /** Ends all requests in progress, as the process exits soon. */
  endUnfinished: () => void;
  start: () => void;
  stop: () => void;
};

/** Interval of assignment passes, milliseconds; limits the delay of what becomes due by time. */
const TICK_MS = 50;
const QUERY_START = '?';

/** Sends a request on, unless it has ended since it was assigned. */
function sendAssigned(
  task: taskState.TaskState,
  assignment: Extract<gateway.Assignment, { kind: 'send' }>,
): void {
  const held = task.held.get(assignment.request.serial);
  if (held !== undefined) {
    const send = () => {
      gateway.noteSending(held.request, task.readClocks());
      attemptSending.send(task, held, assignment);
    };
    requestEnding.runForRequest(task, held, send, undefined);
  }
}

/** Runs a step that concerns the requests of a pass; what it leaves undone, the next pass does. */
function runPass(task: taskState.TaskState, step: () => void): void {
  task.runGuarded(failureGuard.WorkUnit.ASSIGNMENT, step, () => {});
}

/**
 * Applies assignments: refuses requests, reports grants that were not used, and sends requests. If
 * that takes long, the event loop polls in between, as more callers may have left.
 */
function applyAssignments(
  task: taskState.TaskState,
  assignments: readonly gateway.Assignment[],
): void {
  assignments.forEach((assignment) => {
    const held = task.held.get(assignment.request.serial);
    if (held !== undefined && assignment.kind === 'refuse') {
      const refuse = assignment.isShutdown ? requestEnding.refuseAtShutdown : requestEnding.refuse;
      const step = () => refuse(task, held, assignment.refusal);
      requestEnding.runForRequest(task, held, step, undefined);
    } else if (held !== undefined && assignment.kind === 'waitOn') {
      requestReports.reportUnused(task, assignment);
    }
  });
  timeSlices.runInSlices(
    assignments.filter((assignment) => assignment.kind === 'send'),
    (assignment) => sendAssigned(task, assignment),
    () => task.readClocks().steadyMs,
    setImmediate,
  );
}

/** Runs one assignment pass: applies all decisions that can be made now. */
function assignNow(task: taskState.TaskState): void {
  const { assignments, outgoing, notes } = gateway.advance(task.state, task.readClocks());
  task.sendToPeers(outgoing);
  requestReports.reportScheduled(task, notes);
  applyAssignments(task, assignments);
}

/**
 * Creates the function that schedules an assignment pass. Calls within one turn of the event loop
 * share one pass; otherwise a burst would cost a datagram for each request that arrives or ends.
 * The event loop polls before the pass, so that the pass sends no request whose caller has left
 * while the loop was stalled.
 */
function createAssign(task: taskState.TaskState): () => void {
  let isDue = false;
  return () => {
    if (!isDue) {
      isDue = true;
      task.eventLoop.runAfterPoll(() => {
        isDue = false;
        runPass(task, () => assignNow(task));
      });
    }
  };
}

/** Handles a reply from the scheduler of another gateway. */
function applyReply(task: taskState.TaskState, reply: schema.ScheduleReply): void {
  applyAssignments(task, gateway.applyReply(task.state, reply, task.readClocks()));
  task.assign();
}

/** Handles a reply after the event loop has read which callers have left during a stall. */
function receiveReply(task: taskState.TaskState, reply: schema.ScheduleReply): void {
  task.eventLoop.runWhenPolled(() => runPass(task, () => applyReply(task, reply)));
}

/** Handles a message in which another gateway asks the scheduler of this one. */
function receiveAsk(task: taskState.TaskState, ask: schema.ScheduleAsk): void {
  const now = task.readClocks().steadyMs;
  const changes = gateway.receiveAsk(task.state, ask, now);
  statementReports.reportStatements(task.log, changes, ask.address, now);
  task.assign();
}

/** Applies the lost runs and the parts of prompts that another gateway has sent. */
function receiveLostRuns(
  { state, readClocks }: taskState.TaskState,
  lostRuns: schema.LostRuns,
): void {
  const now = readClocks().steadyMs;
  gateway.receivePartStandings(state, lostRuns.parts, now);
  gateway.receiveLostRuns(state, lostRuns.runs, now);
}

/** Handles which versions began some streams, as another gateway knows. */
function receiveOrigins(task: taskState.TaskState, origins: schema.StreamOrigins): void {
  gateway.receiveOrigins(task.state, origins, task.readClocks().steadyMs);
  if (task.state.origins.lookups.size > 0) {
    task.assign();
  }
}

/** Refuses a request that was not admitted. */
function refuseArrived(
  task: taskState.TaskState,
  exchange: callerExchange.CallerExchange,
  attemptId: string,
  refusal: gateway.Refusal,
): void {
  requestReports.reportRefused(task, exchange, attemptId, refusal);
  callerExchange.sendRefusal(exchange, refusal);
}

/** Starts to track a request that was admitted. */
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
    timeoutTimer: undefined,
    events: isStream ? eventStream.createEventStream() : undefined,
    firstEventMs: undefined,
    done: false,
  };
  const run = (step: () => void) => requestEnding.runForRequest(task, held, step, undefined);
  held.timeoutTimer = setTimeout(
    () => run(() => requestEnding.handleTimeout(task, held)),
    request.giveUpMs - task.readClocks().steadyMs,
  );
  task.held.set(request.serial, held);
  exchange.response.on('close', () => run(() => requestEnding.handleCallerLeft(task, held)));
  exchange.response.on('drain', () => run(() => held.attempt?.resume()));
}

/** Admits or refuses a request; an exception ends this request and no other. */
function admit(
  task: taskState.TaskState,
  exchange: callerExchange.CallerExchange,
  unreadMs: number,
): void {
  const refusal = { code: schema.ResultCode.INTERNAL, retryAfterMs: undefined };
  task.runGuarded(
    failureGuard.WorkUnit.REQUEST,
    () => admitUnguarded(task, exchange, unreadMs),
    () => refuseArrived(task, exchange, '', refusal),
  );
}

/** Admits or refuses a request. */
function admitUnguarded(
  task: taskState.TaskState,
  exchange: callerExchange.CallerExchange,
  unreadMs: number,
): void {
  const parsed = task.protocol.parseRequestHeaders(exchange.headers);
  const host = endToEndHeaders.findHeader(exchange.headers, 'host');
  if (parsed === undefined || host === undefined) {
    const code = schema.ResultCode.MALFORMED_REQUEST;
    refuseArrived(task, exchange, '', { code, retryAfterMs: undefined });
    return;
  }
  const [path] = exchange.target.split(QUERY_START);
  const hashContent = contentDigest.createContentHash(exchange);
  const arrived = { ...parsed, host, path, hashContent, unreadMs };
  const admission = gateway.admitRequest(task.state, arrived, task.readClocks());
  if (admission.kind === 'refused') {
    refuseArrived(task, exchange, parsed.attemptId, admission.refusal);
    return;
  }
  hold(task, exchange, admission.request);
  task.assign();
}

/**
 * Handles a request that has been read completely. If the event loop was stalled, the request is
 * admitted after another poll: its caller may have left, and the end of a connection is read in
 * the turn after the one in which the request is read.
 */
function receive(task: taskState.TaskState, exchange: callerExchange.CallerExchange): void {
  if (exchange.unreadMs === 0) {
    admit(task, exchange, 0);
    return;
  }
  const arrivedMs = task.readClocks().steadyMs - exchange.unreadMs;
  task.eventLoop.runAfterPoll(() =>
    task.eventLoop.runAfterPoll(() => {
      if (callerExchange.hasCallerLeft(exchange)) {
        requestReports.reportLeftUnread(task, exchange);
      } else {
        admit(task, exchange, task.readClocks().steadyMs - arrivedMs);
      }
    }),
  );
}

/** Creates the task; periodic assignment passes begin once it is started. */
export function createGatewayTask(dependencies: taskState.GatewayTaskDependencies): GatewayTask {
  const task: taskState.TaskState = {
    ...dependencies,
    held: new Map(),
    assign: () => {},
  };
  task.assign = createAssign(task);
  let timer: NodeJS.Timeout | undefined;
  return {
    receive: (exchange) => receive(task, exchange),
    assign: () => task.assign(),
    receiveAsk: (ask) => receiveAsk(task, ask),
    receiveReply: (reply) => receiveReply(task, reply),
    receiveOrigins: (origins) => receiveOrigins(task, origins),
    receiveOriginQuery: (query) =>
      task.sendToPeers([gateway.buildQueryReply(task.state, query, task.readClocks().steadyMs)]),
    receiveLostRuns: (lostRuns) => receiveLostRuns(task, lostRuns),
    countPhases: () => heldRequest.countPhases(task.held.values()),
    endUnfinished: () =>
      [...task.held.values()].forEach((held) => requestEnding.endUnfinished(task, held)),
    start: () => {
      timer = setInterval(task.assign, TICK_MS);
    },
    stop: () => {
      clearInterval(timer);
      [...task.held.values()].forEach((held) => held.attempt?.abort());
    },
  };
}
