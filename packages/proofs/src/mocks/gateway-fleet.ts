/** Simulates gateways, their backend servers and the datagrams between them in virtual time. */
import * as gateway from '@toucanproxy/core/gateway';
import * as datagramNetwork from '@toucanproxy/core/mocks/datagram-network';
import * as fleetConfiguration from './gateway-fleet-configuration.js';
import * as fleetState from './gateway-fleet-state.js';
import * as randomSource from './random-source.js';

const STEP_MS = 5;

/** Creates a fleet in which all gateways start at once. */
export function createFleet(
  options: Partial<fleetState.FleetOptions> = {},
): fleetState.GatewayFleet {
  const resolvedOptions = {
    gateways: 4,
    servers: 2,
    slots: 2,
    runMs: 200,
    delayMs: 1.4,
    lossShare: 0,
    seed: 1,
    domains: 1,
    warmUp: undefined,
    isRepeatable: false,
    quota: undefined,
    ...options,
  };
  const drawRandom = randomSource.createRandomSource(resolvedOptions.seed);
  const blockedPaths = new Set<string>();
  const fleet: fleetState.GatewayFleet = {
    options: resolvedOptions,
    drawRandom,
    states: [],
    network: datagramNetwork.createNetwork({
      delayMs: resolvedOptions.delayMs,
      lossShare: resolvedOptions.lossShare,
      drawRandom,
      isCut: (from, to) => blockedPaths.has(`${from} ${to}`),
    }),
    nowMs: 0,
    gatewayStarts: 0,
    callCount: 0,
    sequence: 0,
    pausedUntilMs: new Map(),
    stopped: new Set(),
    blockedPaths,
    sent: [],
    refused: [],
    running: [],
    peakConcurrency: 0,
    leaving: new Set(),
    failing: new Set(),
    down: new Set(),
    rateLimits: new Map(),
    reportingLeaving: new Set(),
    backoffs: new Map(),
    backoffRefusals: [],
    receivedStatements: [],
  };
  fleet.states = Array.from({ length: resolvedOptions.gateways }, (_, index) =>
    fleetState.createState(fleet, index),
  );
  deliverReports(fleet);
  return fleet;
}

/** Whether a gateway is neither stopped nor suspended. */
function isRunning(
  { stopped, pausedUntilMs, nowMs }: fleetState.GatewayFleet,
  index: number,
): boolean {
  return !stopped.has(index) && nowMs >= (pausedUntilMs.get(index) ?? 0);
}

/** Delivers a report of each running gateway to the others that it can reach. */
function deliverReports(fleet: fleetState.GatewayFleet): void {
  fleet.sequence += 1;
  fleet.states.forEach((sender, from) =>
    fleet.states.forEach((receiver, to) => {
      const isBlocked = fleet.blockedPaths.has(`${sender.address} ${receiver.address}`);
      if (from === to || isBlocked || !isRunning(fleet, from) || !isRunning(fleet, to)) {
        return;
      }
      const report = {
        address: sender.address,
        life: sender.life,
        sequence: fleet.sequence,
        leaving: false,
        used: new Map(
          gateway.listUse(sender.quotas, 1).map(({ workspace, used }) => [workspace, used]),
        ),
        processorPercent: sender.processorPercent,
        configurationVersion: 1,
        peers: [],
      };
      gateway
        .applyReport(receiver.peers, report, fleet.nowMs)
        .forEach(({ workspace, amount }) =>
          gateway.applyPeerUse(receiver.quotas, workspace, amount, fleet.nowMs),
        );
    }),
  );
}

/** Adds a call at a gateway and returns the id of its attempt. */
export function addCall(fleet: fleetState.GatewayFleet, index: number, urgency = 0): string {
  fleet.callCount += 1;
  const attemptId = `call-${fleet.callCount}`;
  const admission = gateway.admitRequest(
    fleet.states[index],
    {
      attemptId,
      host: 'h',
      path: `/${urgency}/x`,
      credential: fleetConfiguration.KEY,
      deadlineMs: fleetConfiguration.DEADLINE_MS,
      tokens: { prompt: 500, answer: 50 },
      answerGuess: undefined,
      hashContent: () => attemptId,
    },
    fleetState.readClocks(fleet),
  );
  if (admission.kind === 'refused') {
    fleet.refused.push({ attemptId, atMs: fleet.nowMs });
  }
  return attemptId;
}

/** Ends an attempt with a fault, and records the request as refused if it is not retried. */
export function endAttempt(
  fleet: fleetState.GatewayFleet,
  index: number,
  request: gateway.GatewayRequest,
  fault: gateway.AttemptFault,
): void {
  const progress = { hasBegun: false, canResume: true };
  const clocks = fleetState.readClocks(fleet);
  const verdict = gateway.handleAttemptFault(fleet.states[index], request, fault, progress, clocks);
  if (verdict.kind !== 'again') {
    fleet.refused.push({ attemptId: request.arrived.attemptId, atMs: fleet.nowMs });
  }
}

/** Refuses a request on behalf of a backend server that asks for a backoff. */
function refuseWithBackoff(
  fleet: fleetState.GatewayFleet,
  index: number,
  request: gateway.GatewayRequest,
  serverId: string,
  backoffMs: number,
): void {
  fleet.backoffRefusals.push({ gateway: index, serverId, atMs: fleet.nowMs });
  const statement = { ...gateway.EMPTY_STATEMENT, backoffMs, isSigned: false };
  gateway.noteResponseStatement(fleet.states[index], request, statement, fleet.nowMs);
  endAttempt(fleet, index, request, gateway.AttemptFault.REFUSED);
}

/** Carries out the assignments that a gateway has made. */
function applyAssignments(
  fleet: fleetState.GatewayFleet,
  index: number,
  assignments: readonly gateway.Assignment[],
): void {
  assignments.forEach((one) => {
    const { attemptId } = one.request.arrived;
    if (one.kind === 'refuse') {
      fleet.refused.push({ attemptId, atMs: fleet.nowMs });
      return;
    }
    if (one.kind === 'waitOn') {
      return;
    }
    const { request, scheduler } = one;
    const serverId = one.server.id;
    if (fleet.down.has(serverId)) {
      endAttempt(fleet, index, request, gateway.AttemptFault.UNREACHABLE);
      return;
    }
    const sent = { attemptId, gateway: index, serverId, scheduler, atMs: fleet.nowMs, request };
    fleet.sent.push(sent);
    const backoffMs = fleet.backoffs.get(serverId);
    if (backoffMs !== undefined) {
      refuseWithBackoff(fleet, index, request, serverId, backoffMs);
      return;
    }
    fleet.running.push(sent);
    const concurrency = fleet.running.filter((run) => run.serverId === serverId).length;
    fleet.peakConcurrency = Math.max(fleet.peakConcurrency, concurrency);
  });
}

/** Advances a gateway, then sends its datagrams and carries out its assignments. */
function advanceGateway(fleet: fleetState.GatewayFleet, index: number): void {
  const state = fleet.states[index];
  gateway.noteConfirmed(state.lease, fleetState.readClocks(fleet));
  const { assignments, outgoing } = gateway.advance(state, fleetState.readClocks(fleet));
  datagramNetwork.sendDatagrams(fleet.network, state.address, outgoing, fleet.nowMs);
  applyAssignments(fleet, index, assignments);
}

/** Delivers one datagram to a gateway. */
function deliverDatagram(
  fleet: fleetState.GatewayFleet,
  index: number,
  content: Parameters<typeof datagramNetwork.sendDatagrams>[2][number],
): void {
  const state = fleet.states[index];
  if (content.kind === 'ask') {
    gateway.receiveAsk(state, content.ask, fleet.nowMs);
  } else if (content.kind === 'reply') {
    const assignments = gateway.applyReply(state, content.reply, fleetState.readClocks(fleet));
    applyAssignments(fleet, index, assignments);
  }
  advanceGateway(fleet, index);
}

/** Completes the runs whose time is over; those of a suspended gateway wait until it resumes. */
function endRuns(fleet: fleetState.GatewayFleet): void {
  const finished = fleet.running.filter(
    (run) => fleet.nowMs >= run.atMs + fleet.options.runMs && isRunning(fleet, run.gateway),
  );
  fleet.running = fleet.running.filter((run) => !finished.includes(run));
  finished.forEach(({ gateway: index, serverId, request }) => {
    const perSecond = fleet.rateLimits.get(serverId);
    const isLeaving = fleet.reportingLeaving.has(serverId);
    if (perSecond !== undefined || isLeaving) {
      fleet.receivedStatements.push({ gateway: index, serverId, atMs: fleet.nowMs });
    }
    const statement = { isLeaving, backoffMs: undefined, perSecond, isSigned: true };
    gateway.noteResponseStatement(fleet.states[index], request, statement, fleet.nowMs);
    if (fleet.failing.has(serverId)) {
      endAttempt(fleet, index, request, gateway.AttemptFault.FAILED);
      return;
    }
    gateway.noteGoodAnswer(fleet.states[index], request, fleet.nowMs);
    gateway.endRequest(fleet.states[index], request);
  });
}

/** Delivers the datagrams due in this step; those for a suspended gateway wait. */
function deliverDatagrams(fleet: fleetState.GatewayFleet): void {
  const stepMs = fleet.nowMs;
  const held: ReturnType<typeof datagramNetwork.takeNextDue>[] = [];
  let next = datagramNetwork.takeNextDue(fleet.network, stepMs + STEP_MS);
  while (next !== undefined) {
    const { content, dueMs } = next;
    const index = fleet.states.findIndex(({ address }) => address === content.to);
    fleet.nowMs = Math.max(dueMs, stepMs);
    if (isRunning(fleet, index)) {
      deliverDatagram(fleet, index, content);
    } else if (!fleet.stopped.has(index)) {
      held.push(next);
    }
    next = datagramNetwork.takeNextDue(fleet.network, stepMs + STEP_MS);
  }
  fleet.network.inTransit.unshift(...held.filter((one) => one !== undefined));
  fleet.nowMs = stepMs;
}

/** Advances virtual time. */
export function runFleet(fleet: fleetState.GatewayFleet, ms: number): void {
  const endMs = fleet.nowMs + ms;
  while (fleet.nowMs < endMs) {
    endRuns(fleet);
    if (fleet.nowMs % gateway.REPORT_MS === 0) {
      deliverReports(fleet);
    }
    fleet.states.forEach((_, index) => {
      if (isRunning(fleet, index)) {
        advanceGateway(fleet, index);
      }
    });
    deliverDatagrams(fleet);
    fleet.nowMs += STEP_MS;
  }
}

/** Returns the index of the gateway that schedules for the calls of the given gateway. */
export function findScheduler(fleet: fleetState.GatewayFleet, index: number): number {
  addCall(fleet, index);
  runFleet(fleet, 50);
  const { scheduler } = fleet.sent[fleet.sent.length - 1];
  return fleet.states.findIndex(({ address }) => address === scheduler);
}
