/** A caller of a soak: one call after another, on kept connections. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import * as soakRecords from './soak-records.js';

export type CallerOptions = {
  name: string;
  draw: randomSource.DrawRandom;
  records: soakRecords.SoakRecords;
  readNow: () => number;
  /** Ports that lead to the gateways. */
  ports: readonly number[];
  /** Keys that callers use, with the workspaces that hold them. */
  credentials: readonly { credential: string; workspace: string }[];
  isStopped: () => boolean;
};

const KINDS = [
  soakRecords.CallKind.SAFE,
  soakRecords.CallKind.SAFE,
  soakRecords.CallKind.UNSAFE,
  soakRecords.CallKind.UNSAFE,
  soakRecords.CallKind.STREAM,
  soakRecords.CallKind.RESUMABLE,
];
const DEADLINE_MS = 2000;
/** Share of callers that leave, and after which time, milliseconds. */
const LEAVE_SHARE = 0.05;
const LEAVE_MS = 25;
/** Share of calls after which the caller changes to another gateway. */
const MOVE_SHARE = 0.05;
const LONGEST_PAUSE_MS = 20;
/** A caller that was refused waits, or refusals would be all that is played. */
const REFUSED_PAUSE_MS = 100;
const MAX_BODY_BYTES = 3000;

/** Draws what the next call asks for. */
function drawCall(options: CallerOptions, serial: number, gateway: number): soakCall.PlannedCall {
  const { name, draw, credentials } = options;
  const kind = randomSource.drawFrom(draw, KINDS);
  const id = `${name}-${serial}`;
  return {
    id,
    kind,
    path: `/${kind}/${id}`,
    body: 'x'.repeat(Math.floor(draw() * MAX_BODY_BYTES)),
    ...randomSource.drawFrom(draw, credentials),
    gateway,
    deadlineMs: DEADLINE_MS,
    leaveAfterMs: draw() < LEAVE_SHARE ? LEAVE_MS : undefined,
  };
}

/** Calls until it is stopped. */
export async function runCaller(options: CallerOptions): Promise<void> {
  const { draw, ports, isStopped } = options;
  const agents = ports.map(() => new http.Agent({ keepAlive: true, maxSockets: 1 }));
  let gateway = Math.floor(draw() * ports.length);
  let serial = 0;
  while (!isStopped()) {
    serial += 1;
    const call = drawCall(options, serial, gateway);
    const { answer } = await soakCall.makeCall(options, call, ports[gateway], agents[gateway]);
    gateway = draw() < MOVE_SHARE ? Math.floor(draw() * ports.length) : gateway;
    const pauseMs = answer?.status === 503 ? REFUSED_PAUSE_MS : draw() * LONGEST_PAUSE_MS;
    await timers.setTimeout(pauseMs);
  }
  agents.forEach((agent) => agent.destroy());
}
