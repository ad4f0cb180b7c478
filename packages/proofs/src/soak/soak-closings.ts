/**
 * Stops gateways of the soak test under callers that send each request on a new connection, from
 * before SIGTERM until the process has ended, beside callers that keep their connections.
 */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import * as soakFleet from './soak-fleet.js';
import * as soakPauses from './soak-pauses.js';
import * as soakPorts from './soak-ports.js';
import * as soakRecords from './soak-records.js';
import * as soakSeries from './soak-series.js';
import * as soakSignals from './soak-signals.js';
import * as soakStops from './soak-stops.js';

const MAX_PAUSE_MS = 1000;
const MAX_BETWEEN_MS = 3000;
const MAX_AWAY_MS = 1000;
/** Callers begin this long before SIGTERM. */
const LEAD_MS = 500;
const DEADLINE_MS = 2000;
/** Time between new connections, and between the requests on a kept one, milliseconds. */
const MIN_INTERVAL_MS = 2;
const MAX_INTERVAL_MS = 20;
const KEPT_INTERVAL_MS = 20;
const KEPT_CALLERS = 4;
/** Connections that are idle from before SIGTERM on; one after the other is used once more. */
const IDLE_CONNECTIONS = 40;
/** Share of stops of a process that is paused for half of its time. */
const PAUSED_SHARE = 0.5;
/** Share of stops after which the gateway is stopped again as soon as its port is open. */
const RESTOPPED_SHARE = 0.3;
const MAX_STARTED_MS = 10_000;
/** Routes of a large configuration, which is close to the largest value that the store takes. */
const LARGE_ROUTES = 4000;
const LARGE_SERIES = 4;
const KINDS = [soakRecords.CallKind.SAFE, soakRecords.CallKind.UNSAFE];

/** How one gateway is stopped. */
type StopPlan = {
  name: string;
  /** Time until the first pause by the quota of its processor, ms; undefined without a quota. */
  firstPauseMs: number | undefined;
  isRestopped: boolean;
  awayMs: number;
  intervalMs: number;
};

/** Draws how a gateway is stopped. */
function drawPlan(draw: randomSource.DrawRandom, name: string): StopPlan {
  const [isPaused, phase] = [draw() < PAUSED_SHARE, draw()];
  return {
    name,
    firstPauseMs: isPaused ? phase * soakPauses.PERIOD_MS : undefined,
    isRestopped: draw() < RESTOPPED_SHARE,
    awayMs: draw() * MAX_AWAY_MS,
    intervalMs: randomSource.drawBetween(draw, MIN_INTERVAL_MS, MAX_INTERVAL_MS),
  };
}

/** Sends one call to the port of a gateway's process. */
function sendCall(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  id: string,
  serial: number,
  agent: http.Agent | undefined,
): Promise<soakRecords.CallRecord> {
  const kind = KINDS[serial % KINDS.length];
  const held = fleet.credentials[serial % fleet.credentials.length];
  const call = { id, kind, path: `/${kind}/${id}`, body: id, ...held, isDirect: true };
  const planned = { ...call, gateway: gateway.index, deadlineMs: DEADLINE_MS };
  return soakCall.makeCall(fleet, planned, gateway.port, agent);
}

/** Sends each call on a new connection, whether or not the earlier ones have ended. */
async function openConnections(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  { name, intervalMs }: StopPlan,
  isOver: () => boolean,
): Promise<void> {
  const sent: Promise<unknown>[] = [];
  const beganMs = fleet.readNow();
  for (let serial = 0; !isOver();) {
    // Timers are late on a busy machine; calls that are due by then are sent together.
    for (; serial * intervalMs <= fleet.readNow() - beganMs; serial += 1) {
      sent.push(sendCall(fleet, gateway, `${name}-new-${serial}`, serial, undefined));
    }
    await timers.setTimeout(intervalMs);
  }
  await Promise.all(sent);
}

/** Sends one call after the other on a connection that is kept for as long as the gateway keeps it. */
async function keepConnection(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  name: string,
  isOver: () => boolean,
): Promise<void> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (let serial = 0; !isOver(); serial += 1) {
    await sendCall(fleet, gateway, `${name}-${serial}`, serial, agent);
    await timers.setTimeout(KEPT_INTERVAL_MS);
  }
  agent.destroy();
}

/** Sends a call on a connection, and another one on it after a time. */
async function resumeConnection(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  name: string,
  idleMs: number,
): Promise<void> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  await sendCall(fleet, gateway, `${name}-first`, 0, agent);
  await timers.setTimeout(idleMs);
  // A connection that is closed already is not used; a new one would be refused.
  if (Object.keys(agent.freeSockets).length > 0) {
    await sendCall(fleet, gateway, `${name}-second`, 1, agent);
  }
  agent.destroy();
}

/** Starts all callers of a gateway; they call until `isOver` returns true. */
function startCallers(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  plan: StopPlan,
  isOver: () => boolean,
): Promise<unknown> {
  const kept = Array.from({ length: KEPT_CALLERS }, (_, index) =>
    keepConnection(fleet, gateway, `${plan.name}-kept-${index}`, isOver),
  );
  const idle = Array.from({ length: IDLE_CONNECTIONS }, (_, index) => {
    const idleMs = LEAD_MS + (fleet.graceMs * index) / IDLE_CONNECTIONS;
    return resumeConnection(fleet, gateway, `${plan.name}-idle-${index}`, idleMs);
  });
  return Promise.all([...kept, ...idle, openConnections(fleet, gateway, plan, isOver)]);
}

/** Publishes large configurations one after the other, and a small one at their end. */
export function publishLarge(fleet: soakFleet.SoakFleet): void {
  Array.from({ length: LARGE_SERIES }, () => soakFleet.publishConfiguration(fleet, LARGE_ROUTES));
  soakFleet.publishConfiguration(fleet);
}

/** Stops the present process of a gateway. Resolves once the process has exited. */
async function stopProcess(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  gateway: soakFleet.SoakGateway,
  plan: StopPlan,
): Promise<{ serving: Promise<void> }> {
  const { child } = gateway;
  if (child !== undefined && plan.firstPauseMs !== undefined) {
    soakPauses.applyQuota(child, plan.firstPauseMs);
  }
  const serving = soakSignals.stopGateway(fleet, gateway, 'SIGTERM', plan.awayMs);
  soakStops.addSignals(fleet, draw, gateway, [() => publishLarge(fleet)]);
  if (child !== undefined && child.exitCode === null && child.signalCode === null) {
    await new Promise((resolve) => {
      child.once('exit', resolve);
    });
  }
  return { serving };
}

/** Stops a gateway under its callers; some are stopped again as soon as their port is open. */
async function stopUnderCalls(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  gateway: soakFleet.SoakGateway,
  plan: StopPlan,
): Promise<void> {
  let isOver = false;
  const calling = startCallers(fleet, gateway, plan, () => isOver);
  await timers.setTimeout(LEAD_MS);
  const { serving } = await stopProcess(fleet, draw, gateway, plan);
  if (plan.isRestopped) {
    await timers.setTimeout(plan.awayMs);
    await soakPorts.waitUntilAccepting(gateway.port, MAX_STARTED_MS);
    await (
      await stopProcess(fleet, draw, gateway, plan)
    ).serving;
  }
  isOver = true;
  await Promise.all([calling, serving]);
}

/** Plays rounds in which gateways are stopped one after the other; all of them in the first one. */
export async function runClosings(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  const { gateways } = fleet;
  await soakSeries.runSeries(draw, count, MAX_PAUSE_MS, async (round) => {
    const first = Math.floor(draw() * gateways.length);
    const some = 1 + Math.floor(draw() * gateways.length);
    const stopping = round === 0 ? gateways.length : some;
    const stops: Promise<void>[] = [];
    for (let index = 0; index < stopping; index += 1) {
      const gateway = gateways[(first + index) % gateways.length];
      const plan = drawPlan(draw, `closing-${round}-${index}`);
      stops.push(stopUnderCalls(fleet, draw, gateway, plan));
      await timers.setTimeout(draw() * MAX_BETWEEN_MS);
    }
    await Promise.all(stops);
  });
}
