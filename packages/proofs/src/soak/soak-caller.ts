/** A caller of the soak test: sends one call after another over keep-alive connections. */
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
  /** Local ports that forward to the gateways, by gateway index. */
  ports: readonly number[];
  /** API keys in use and the workspaces they belong to. */
  credentials: readonly { credential: string; workspace: string }[];
  /** Share of requests whose events have CRLF as line ends. */
  crLfShare: number;
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
/** Share of calls whose caller disconnects early, and after how many milliseconds. */
const DISCONNECT_SHARE = 0.05;
const DISCONNECT_AFTER_MS = 25;
/** Every so many calls, the caller of a resumable stream leaves it to take it up again. */
const TAKE_UP_CALLS = 3;
const TAKE_UP_AFTER_MS = 45;
/** Share of calls after which the caller picks a gateway anew. */
const SWITCH_SHARE = 0.05;
/** Callers do not reuse connections that were idle for four fifths of the gateways' idle timeout. */
const MAX_IDLE_MS = 12_000;
const MAX_PAUSE_MS = 20;
/** Pause after a 503; without it, a run would consist mostly of refused calls. */
const REFUSED_PAUSE_MS = 100;
const MAX_BODY_BYTES = 3000;

/** Draws the next call. */
function drawCall(options: CallerOptions, serial: number, gateway: number): soakCall.PlannedCall {
  const { name, draw, credentials, crLfShare } = options;
  const kind = randomSource.drawFrom(draw, KINDS);
  const mark = crLfShare > 0 && draw() < crLfShare ? soakRecords.CRLF_MARK : '';
  const id = `${name}-${serial}${mark}`;
  const isTakenUp = kind === soakRecords.CallKind.RESUMABLE && serial % TAKE_UP_CALLS === 0;
  const leavesAfterMs = isTakenUp ? TAKE_UP_AFTER_MS : undefined;
  return {
    id,
    kind,
    path: `/${kind}/${id}`,
    body: 'x'.repeat(Math.floor(draw() * MAX_BODY_BYTES)),
    ...randomSource.drawFrom(draw, credentials),
    gateway,
    deadlineMs: DEADLINE_MS,
    disconnectAfterMs: draw() < DISCONNECT_SHARE ? DISCONNECT_AFTER_MS : leavesAfterMs,
  };
}

/**
 * Builds the call that takes up a stream of which the caller has only a part, at the next gateway;
 * undefined if there is nothing to take up.
 */
function buildTakeUp(
  { credentials, ports }: CallerOptions,
  call: soakRecords.CallRecord,
): soakCall.PlannedCall | undefined {
  const { id, kind, path, body, credential, workspace, response, deadlineMs } = call;
  const after = soakRecords.findLastEvent(response?.body ?? '');
  const isCut = kind === soakRecords.CallKind.RESUMABLE && response?.isComplete === false;
  const isKeyHeld = credentials.some((one) => one.credential === credential);
  const gateway = (call.gateway + 1) % ports.length;
  return isCut && isKeyHeld && after > 0 && after < soakRecords.STREAM_EVENTS
    ? {
        id: `${id}-again`,
        kind,
        path,
        body,
        credential,
        workspace,
        gateway,
        deadlineMs,
        resumes: { id, after },
      }
    : undefined;
}

/** Sends calls until the run stops. */
export async function runCaller(options: CallerOptions): Promise<void> {
  const { draw, ports, isStopped } = options;
  const agents = ports.map(
    () => new http.Agent({ keepAlive: true, maxSockets: 1, timeout: MAX_IDLE_MS }),
  );
  let gateway = Math.floor(draw() * ports.length);
  let serial = 0;
  while (!isStopped()) {
    serial += 1;
    const call = drawCall(options, serial, gateway);
    const made = await soakCall.makeCall(options, call, ports[gateway], agents[gateway]);
    const takeUp = buildTakeUp(options, made);
    if (takeUp !== undefined) {
      await soakCall.makeCall(options, takeUp, ports[takeUp.gateway], agents[takeUp.gateway]);
    }
    const { response } = made;
    gateway = draw() < SWITCH_SHARE ? Math.floor(draw() * ports.length) : gateway;
    const pauseMs = response?.status === 503 ? REFUSED_PAUSE_MS : draw() * MAX_PAUSE_MS;
    await timers.setTimeout(pauseMs);
  }
  agents.forEach((agent) => agent.destroy());
}
