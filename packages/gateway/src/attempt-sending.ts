/** Sends requests to backend servers and handles the outcome of each attempt. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as backendAttempt from './backend-attempt.js';
import type * as backendConnections from './backend-connections.js';
import * as callerExchange from './caller-exchange.js';
import * as gatewayMetrics from './gateway-metrics.js';
import * as domainTraffic from './domain-traffic.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as eventStream from './event-stream.js';
import type * as heldRequest from './held-request.js';
import * as outgoingRequest from './outgoing-request.js';
import type * as relayState from './relay-state.js';
import * as requestEnding from './request-ending.js';
import * as requestReports from './request-reports.js';
import * as responseRelay from './response-relay.js';
import * as serverCheck from './server-check.js';
import * as streamConnection from './stream-connection.js';
import * as statementReports from './statement-reports.js';
import type * as taskState from './task-state.js';
import * as unknownNames from './unknown-names.js';

const MAX_SUCCESS = 299;

/** Finds why nobody waits for the response to a request any more, if that is so. */
function findUnwantedReason(
  task: taskState.TaskState,
  { request, exchange }: heldRequest.HeldRequest,
): gatewayMetrics.WithdrawalReason | undefined {
  if (callerExchange.hasCallerLeft(exchange)) {
    return gatewayMetrics.WithdrawalReason.CALLER_LEFT;
  }
  return task.readClocks().steadyMs >= request.giveUpMs
    ? gatewayMetrics.WithdrawalReason.DEADLINE
    : undefined;
}

/** Ends a request that was not sent if nobody waits for its response; returns whether it did. */
function endIfUnwanted(task: taskState.TaskState, held: heldRequest.HeldRequest): boolean {
  const reason = findUnwantedReason(task, held);
  if (reason === undefined) {
    return false;
  }
  held.attempt = undefined;
  task.metrics.recordWithdrawal(reason);
  if (reason === gatewayMetrics.WithdrawalReason.CALLER_LEFT) {
    requestEnding.handleCallerLeft(task, held);
  } else {
    requestEnding.handleTimeout(task, held);
  }
  return true;
}

/** Handles the withdrawal of a request before its first byte; returns whether the request ended. */
function handleWithdrawal(task: taskState.TaskState, held: heldRequest.HeldRequest): boolean {
  const hasEnded = endIfUnwanted(task, held);
  if (!hasEnded) {
    task.metrics.recordWithdrawal(gatewayMetrics.WithdrawalReason.SERVER);
  }
  return hasEnded;
}

/** Handles the outcome of an attempt. */
function handleOutcome(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  outcome: relayState.AttemptOutcome,
): void {
  if (held.done) {
    return;
  }
  const isWithdrawn = outcome.kind === 'fault' && outcome.fault === gateway.AttemptFault.WITHDRAWN;
  if (isWithdrawn && handleWithdrawal(task, held)) {
    return;
  }
  const { request } = held;
  const { serverId } = request;
  const clocks = task.readClocks();
  const now = clocks.steadyMs;
  held.attempt?.abort();
  held.attempt = undefined;
  if (outcome.kind === 'complete') {
    gateway.noteGoodAnswer(task.state, request, now);
    gateway.noteRunTime(task.state.runTimes, request, now);
    if (gateway.noteCompleteResponse(task.state, request, now)) {
      requestReports.reportCleared(task, request, now);
    }
    const isProof = outcome.head.status <= MAX_SUCCESS;
    if (isProof && gateway.noteSoundRun(task.state, request, now)) {
      requestReports.reportPartsCleared(task, request, now);
    }
    gateway.endRequest(task.state, request);
    requestEnding.removeRequest(task, held);
    const { head, events } = outcome;
    const contentType = endToEndHeaders.findHeader(head.headers, 'content-type');
    const { status, framing } = head;
    const fields = { server: serverId, status, framing, contentType, events };
    requestReports.reportEnd(task, held, schema.ResultCode.COMPLETED, fields);
    task.assign();
    return;
  }
  const { fault, reason, failure } = outcome;
  const hasBegun = held.exchange.response.headersSent;
  const canResume =
    !hasBegun || (held.events !== undefined && eventStream.isResumable(held.events));
  const progress = { hasBegun, canResume };
  const wasSuspended = gateway.isContentSuspended(task.state, request);
  const partBefore = gateway.findRequestPart(task.state, request, now)?.part;
  const verdict = gateway.handleAttemptFault(task.state, request, fault, progress, clocks);
  requestReports.reportFault(task, held, { serverId, fault, reason, verdict: verdict.kind }, now);
  if (!wasSuspended && gateway.isContentSuspended(task.state, request)) {
    requestReports.reportSuspended(task, request, serverId);
  }
  const suspended = gateway.findRequestPart(task.state, request, now);
  if (suspended !== undefined && suspended.part !== partBefore) {
    requestReports.reportPartSuspended(task, request, serverId, suspended);
  }
  applyVerdict(task, held, verdict, failure);
  task.assign();
}

/** Applies the decision that was made after a fault. */
function applyVerdict(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  verdict: gateway.AttemptVerdict,
  failure: Extract<relayState.AttemptOutcome, { kind: 'fault' }>['failure'],
): void {
  if (verdict.kind === 'refuse') {
    requestEnding.refuse(task, held, verdict.refusal);
    return;
  }
  if (verdict.kind === 'again') {
    return;
  }
  if (failure === undefined) {
    requestEnding.refuse(task, held, {
      code: schema.ResultCode.ENGINE_FAILED,
      retryAfterMs: undefined,
    });
    return;
  }
  requestEnding.removeRequest(task, held);
  requestReports.reportEnd(task, held, schema.ResultCode.ENGINE_FAILED, { status: failure.status });
  callerExchange.sendResponse(held.exchange, failure, failure.body);
}

/** Handles events of a stream after the first one. */
function handleLaterEvents(
  task: taskState.TaskState,
  request: gateway.GatewayRequest,
  now: number,
): void {
  if (gateway.noteStreamed(task.state, request, now)) {
    requestReports.reportPartsCleared(task, request, now);
  }
}

/**
 * Lists the starts of processes at the address of a server that are known before a request is sent: one
 * that states such a start after the response has lived all the while, so that it sent the response.
 */
function listKnownStarts(
  { connections }: taskState.TaskState,
  { address, bornMs }: gateway.BackendServerEntry,
  connection: backendConnections.BackendConnection,
): number[] {
  const starts =
    connection.bornMs === undefined
      ? [bornMs, connections.getStatedStart(address) ?? 0]
      : [connection.bornMs];
  return starts.filter((start) => start > 0);
}

/** Checks whether the process that sent the response to an attempt has outlived its connection. */
function checkServer(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  server: gateway.BackendServerEntry,
  knownStarts: readonly number[],
  settle: (isPresent: boolean) => void,
): void {
  const { request } = held;
  const readNow = () => task.readClocks().steadyMs;
  const { abort } = serverCheck.startServerCheck({
    open: () => task.connections.open(server.address),
    request: task.protocol.buildServerCheck(server.id),
    knownStarts,
    parseStart: task.protocol.parseReportedStart,
    isMisdirected: (status, headers) =>
      task.protocol.parseResponseHeaders(status, headers).isMisdirected,
    readNow,
    runAfterPoll: task.eventLoop.runAfterPoll,
    settle: (finding, ms) => {
      const isPresent = serverCheck.isPresent(finding);
      requestReports.reportServerCheck(
        task,
        request,
        { server: server.id, finding, ms },
        readNow(),
      );
      task.metrics.recordServerCheck(request.service, isPresent);
      if (isPresent) {
        gateway.noteServerHeard(task.state, request, readNow());
      }
      requestEnding.runForRequest(task, held, () => settle(isPresent), undefined);
    },
  });
  held.attempt = { abort, resume: () => {}, mayHaveBeenSent: () => true };
}

/** Wraps the callbacks of an attempt, so that an exception in one ends this request and no other. */
function buildGuardedListener(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  listener: backendAttempt.AttemptListener,
): backendAttempt.AttemptListener {
  const run = <T>(step: () => T, resultOfFailure: T) =>
    requestEnding.runForRequest(task, held, step, resultOfFailure);
  return {
    onHead: (...head) => run(() => listener.onHead(...head), false),
    onData: (chunk) => run(() => listener.onData(chunk), true),
    onEnd: () => run(listener.onEnd, undefined),
    onExtraResponse: () => run(() => listener.onExtraResponse?.(), undefined),
    canSend: () => run(listener.canSend, false),
    onWithdrawn: () => run(listener.onWithdrawn, undefined),
    onBroken: (...outcome) => run(() => listener.onBroken(...outcome), undefined),
  };
}

/** Creates the listener that relays the response to a request and records what it shows. */
function createRelay(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  server: gateway.BackendServerEntry,
  getKnownStarts: () => readonly number[],
): backendAttempt.AttemptListener {
  const { request } = held;
  const readNow = () => task.readClocks().steadyMs;
  return responseRelay.createRelay({
    held,
    protocol: task.protocol,
    readNow,
    settle: (outcome) => handleOutcome(task, held, outcome),
    observeUnitTime: (unitMs) => {
      gateway.noteServerHeard(task.state, request, readNow());
      gateway.noteUnit(task.state, request, unitMs, readNow());
    },
    observeFirstEvent: (ms) => {
      held.firstEventMs ??= Math.round(readNow() - request.arrivedMs);
      gateway.noteFirstEvent(task.state, request, ms, readNow());
      task.metrics.recordFirstEvent(request.route.name, ms);
      if (request.predictedFirstMs > 0) {
        task.metrics.recordFirstEventError(request.service, ms - request.predictedFirstMs);
      }
    },
    observeLaterEvents: () => handleLaterEvents(task, request, readNow()),
    observeStreamBegun: () =>
      task.sendToPeers(gateway.noteStreamBegun(task.state, request, readNow())),
    canSend: () =>
      findUnwantedReason(task, held) === undefined &&
      gateway.findPartSuspension(task.state, request, readNow()) === undefined &&
      gateway.isStillUsable(task.state, request, readNow()),
    checkServer: (settle) => checkServer(task, held, server, getKnownStarts(), settle),
    observeExtraResponse: () =>
      requestReports.reportExtraResponse(task, request, server.id, readNow()),
    observeStatements: (parsed) => {
      gateway.noteServerHeard(task.state, request, readNow());
      statementReports.applyStatements(task, request, parsed);
      unknownNames.recordUnknownNames(task.unknown, task.log, parsed.unknown, readNow());
    },
  });
}

/** Sends a request to a backend server. */
export function send(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  { server, scheduler }: Extract<gateway.Assignment, { kind: 'send' }>,
): void {
  const { request } = held;
  if (endIfUnwanted(task, held)) {
    return;
  }
  requestReports.reportSent(task, held, server, scheduler);
  const isOwnDomain = server.failureDomain === task.state.failureDomain;
  domainTraffic.addAmount(task.traffic.placements, isOwnDomain, 1);
  if (request.sends === 1) {
    task.metrics.recordWait(request.urgency, request.sentMs - request.arrivedMs);
  }
  if (held.events !== undefined) {
    eventStream.restart(held.events, held.exchange.response.headersSent);
  }
  let knownStarts: readonly number[] = [];
  const relay = createRelay(task, held, server, () => knownStarts);
  const listener = buildGuardedListener(task, held, relay);
  const refuse = (fault: gateway.AttemptFault, reason: string) =>
    handleOutcome(task, held, { kind: 'fault', fault, reason, failure: undefined });
  const useConnection = (connection: backendConnections.BackendConnection) => {
    knownStarts = listKnownStarts(task, server, connection);
    const now = task.readClocks().steadyMs;
    const outgoing = outgoingRequest.buildOutgoingRequest(task.protocol, held, server, now);
    held.attempt = backendAttempt.startAttempt(
      connection,
      outgoing,
      domainTraffic.countBodies(task.traffic, isOwnDomain, outgoing.body, listener),
    );
  };
  streamConnection.takeConnection(task, held, server, useConnection, refuse);
}
