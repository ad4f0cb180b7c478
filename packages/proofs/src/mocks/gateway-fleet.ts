/** Gateways before model backend servers in virtual time, with datagrams between them. */
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
  const given = {
    gateways: 4,
    servers: 2,
    slots: 2,
    runMs: 200,
    delayMs: 1.4,
    lossShare: 0,
    seed: 1,
    domains: 1,
    warmUp: undefined,
    ...options,
  };
  const draw = randomSource.createRandomSource(given.seed);
  const cuts = new Set<string>();
  const fleet: fleetState.GatewayFleet = {
    options: given,
    draw,
    states: [],
    network: datagramNetwork.createNetwork({
      delayMs: given.delayMs,
      lossShare: given.lossShare,
      drawRandom: draw,
      isCut: (from, to) => cuts.has(`${from} ${to}`),
    }),
    nowMs: 0,
    starts: 0,
    calls: 0,
    sequence: 0,
    pausedUntilMs: new Map(),
    dead: new Set(),
    cuts,
    sent: [],
    refused: [],
    running: [],
    mostAtServer: 0,
    leaving: new Set(),
    down: new Set(),
    rateLimits: new Map(),
    sayingLeaving: new Set(),
    backoffs: new Map(),
    backedOff: [],
    told: [],
  };
  fleet.states = Array.from({ length: given.gateways }, (_, index) =>
    fleetState.createState(fleet, index),
  );
  passReports(fleet);
  return fleet;
}

/** Tells whether a gateway does something now. */
function isRunning(
  { dead, pausedUntilMs, nowMs }: fleetState.GatewayFleet,
  index: number,
): boolean {
  return !dead.has(index) && nowMs >= (pausedUntilMs.get(index) ?? 0);
}

/** Passes a report of each gateway to the others. */
function passReports(fleet: fleetState.GatewayFleet): void {
  fleet.sequence += 1;
  fleet.states.forEach((sender, from) =>
    fleet.states.forEach((receiver, to) => {
      const isCut = fleet.cuts.has(`${sender.address} ${receiver.address}`);
      if (from === to || isCut || !isRunning(fleet, from) || !isRunning(fleet, to)) {
        return;
      }
      const report = {
        address: sender.address,
        life: sender.life,
        sequence: fleet.sequence,
        leaving: false,
        used: new Map<string, number>(),
        processorPercent: sender.processorPercent,
        configurationVersion: 1,
        peers: [],
      };
      gateway.applyReport(receiver.peers, report, fleet.nowMs);
    }),
  );
}

/** Takes a call in at a gateway; gives its attempt's id. */
export function addCall(fleet: fleetState.GatewayFleet, index: number, urgency = 0): string {
  fleet.calls += 1;
  const attemptId = `call-${fleet.calls}`;
  const intake = gateway.admitRequest(
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
  if (intake.kind === 'refused') {
    fleet.refused.push({ attemptId, atMs: fleet.nowMs });
  }
  return attemptId;
}

/** Ends an attempt at a backend server with a fault. */
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

/** Refuses a request at a backend server that wants nothing for a while. */
function refuseWithBackoff(
  fleet: fleetState.GatewayFleet,
  index: number,
  request: gateway.GatewayRequest,
  serverId: string,
  backoffMs: number,
): void {
  fleet.backedOff.push({ gateway: index, serverId, atMs: fleet.nowMs });
  const statement = { ...gateway.EMPTY_STATEMENT, backoffMs, isSigned: false };
  gateway.noteResponseStatement(fleet.states[index], request, statement, fleet.nowMs);
  endAttempt(fleet, index, request, gateway.AttemptFault.REFUSED);
}

/** Carries out what a gateway has decided. */
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
    const there = fleet.running.filter((run) => run.serverId === serverId).length;
    fleet.mostAtServer = Math.max(fleet.mostAtServer, there);
  });
}

/** Lets a gateway do what it can do now. */
function advance(fleet: fleetState.GatewayFleet, index: number): void {
  const state = fleet.states[index];
  gateway.noteConfirmed(state.lease, fleetState.readClocks(fleet));
  const { assignments, outgoing } = gateway.advance(state, fleetState.readClocks(fleet));
  datagramNetwork.sendDatagrams(fleet.network, state.address, outgoing, fleet.nowMs);
  applyAssignments(fleet, index, assignments);
}

/** Hands one datagram to a gateway. */
function deliver(
  fleet: fleetState.GatewayFleet,
  index: number,
  content: Parameters<typeof datagramNetwork.sendDatagrams>[2][number],
): void {
  const state = fleet.states[index];
  if (content.kind === 'ask') {
    gateway.receiveAsk(state, content.ask, fleet.nowMs);
  } else {
    const assignments = gateway.applyReply(state, content.reply, fleetState.readClocks(fleet));
    applyAssignments(fleet, index, assignments);
  }
  advance(fleet, index);
}

/** Ends the runs that are over; those of a suspended gateway end once it wakes. */
function endRuns(fleet: fleetState.GatewayFleet): void {
  const over = fleet.running.filter(
    (run) => fleet.nowMs >= run.atMs + fleet.options.runMs && isRunning(fleet, run.gateway),
  );
  fleet.running = fleet.running.filter((run) => !over.includes(run));
  over.forEach(({ gateway: index, serverId, request }) => {
    const perSecond = fleet.rateLimits.get(serverId);
    const isLeaving = fleet.sayingLeaving.has(serverId);
    if (perSecond !== undefined || isLeaving) {
      fleet.told.push({ gateway: index, serverId, atMs: fleet.nowMs });
    }
    const stated = { isLeaving, backoffMs: undefined, perSecond, isSigned: true };
    gateway.noteResponseStatement(fleet.states[index], request, stated, fleet.nowMs);
    gateway.noteGoodAnswer(fleet.states[index], request, fleet.nowMs);
    gateway.endRequest(fleet.states[index], request);
  });
}

/** Delivers what arrives in one step; what is for a suspended gateway waits for it. */
function deliverDue(fleet: fleetState.GatewayFleet): void {
  const stepMs = fleet.nowMs;
  const held: ReturnType<typeof datagramNetwork.takeNextDue>[] = [];
  let next = datagramNetwork.takeNextDue(fleet.network, stepMs + STEP_MS);
  while (next !== undefined) {
    const { content, dueMs } = next;
    const index = fleet.states.findIndex(({ address }) => address === content.to);
    fleet.nowMs = Math.max(dueMs, stepMs);
    if (isRunning(fleet, index)) {
      deliver(fleet, index, content);
    } else if (!fleet.dead.has(index)) {
      held.push(next);
    }
    next = datagramNetwork.takeNextDue(fleet.network, stepMs + STEP_MS);
  }
  fleet.network.inTransit.unshift(...held.filter((one) => one !== undefined));
  fleet.nowMs = stepMs;
}

/** Lets time pass. */
export function runFleet(fleet: fleetState.GatewayFleet, ms: number): void {
  const endMs = fleet.nowMs + ms;
  while (fleet.nowMs < endMs) {
    endRuns(fleet);
    if (fleet.nowMs % gateway.REPORT_MS === 0) {
      passReports(fleet);
    }
    fleet.states.forEach((_, index) => {
      if (isRunning(fleet, index)) {
        advance(fleet, index);
      }
    });
    deliverDue(fleet);
    fleet.nowMs += STEP_MS;
  }
}

/** Finds the gateway that schedules, as one of them sees it now. */
export function findScheduler(fleet: fleetState.GatewayFleet, index: number): number {
  addCall(fleet, index);
  runFleet(fleet, 50);
  const { scheduler } = fleet.sent[fleet.sent.length - 1];
  return fleet.states.findIndex(({ address }) => address === scheduler);
}
