/**
 * A backend server of the soak test. Some of its responses are slow, truncated, failed or
 * unframed, and it can announce rate limits and statements about itself.
 */
import type * as net from 'node:net';
import * as backendServerStandIn from '@toucanproxy/platform/mocks/backend-server-stand-in';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import * as randomSource from '../mocks/random-source.js';
import * as soakExtraResponses from './soak-extra-responses.js';
import * as soakRecords from './soak-records.js';
import * as soakResponses from './soak-responses.js';

export type SoakServer = {
  id: string;
  port: number;
  /** Starts a new incarnation under an id; requests for any other id are answered with 421. */
  rename: (id: string, version: string) => void;
  /** Sets when the process started, as its report states it, milliseconds since the Unix epoch. */
  setBornMs: (bornMs: number) => void;
  /** Announces a rate limit in all responses from now on; none if undefined. */
  setLimit: (limit: soakRecords.LimitRecord | undefined) => void;
  /** Makes a statement about itself in responses from now on; none if undefined. */
  setStatement: (statement: soakRecords.StatementRecord | undefined) => void;
  /** Called when a request arrives that ends the server. */
  setCrash: (crash: () => void) => void;
  /** Sets the share of streams that have no length and end with their connection. */
  setUnframedShare: (share: number) => void;
  /** Sets the share of responses that are followed by a second one on their connection. */
  setExtraShare: (share: number) => void;
  /** Sets how the time of each run is drawn, milliseconds; the usual times if undefined. */
  setWork: (drawWorkMs: (() => number) | undefined) => void;
  stop: () => void;
};

/** Requests that it processes concurrently. */
export const SLOTS = 4;
/** Share of requests that it refuses while it asks for a backoff. */
const REFUSED_SHARE = 0.8;
/** Share of requests that are slow. */
const SLOW_SHARE = 0.05;
const WORK_MS = 15;
const SLOW_MS = 400;
/** Time until a run with the crashing part ends the server, milliseconds. */
const CRASH_MS = 100;

/** Records a request that starts to run. */
function recordRun(
  state: soakResponses.ServerState,
  request: backendServerStandIn.ReceivedRequest,
): soakRecords.RunRecord {
  const { attemptId, workspace, hasCredential, resumeAfter, parts } =
    platformFixtures.parseForwardedRequest(request);
  const [method, path] = request.requestLine.split(' ');
  const run = {
    id: attemptId,
    server: state.id,
    failureDomain: state.failureDomain,
    version: state.version,
    method,
    path,
    body: request.body,
    workspace,
    hasCredential,
    resumeAfter,
    parts,
    atMs: state.readNow(),
    endedMs: 0,
    isBrokenOff: false,
    isWhole: false,
    isMixedUp: false,
  };
  state.records.runs.push(run);
  return run;
}

/** Refuses a request with a backoff if one is stated; false if the request is to be processed. */
function refuseWithBackoff(
  { statement, draw, readNow }: soakResponses.ServerState,
  request: backendServerStandIn.ReceivedRequest,
  send: (response: string) => void,
): boolean {
  const isAsking = statement?.kind === soakRecords.StatementKind.BACKOFF;
  if (!isAsking || draw() >= REFUSED_SHARE) {
    return false;
  }
  const { attemptId: id } = platformFixtures.parseForwardedRequest(request);
  statement.announced.push({ id, atMs: readNow() });
  send(platformFixtures.buildBackoffResponse(request, statement.backoffMs));
  return true;
}

/** Takes a slot until the run ends; returns the function that ends it. */
function holdSlot(
  state: soakResponses.ServerState,
  run: soakRecords.RunRecord,
  socket: net.Socket,
): () => void {
  state.active += 1;
  const end = () => {
    if (run.endedMs === 0) {
      run.endedMs = state.readNow();
      state.active -= 1;
      socket.off('close', end);
    }
  };
  socket.on('close', end);
  return end;
}

/** Draws how long a run takes until its response begins, milliseconds. */
function drawWork({ draw, drawWorkMs }: soakResponses.ServerState): number {
  return drawWorkMs?.() ?? (draw() < SLOW_SHARE ? SLOW_MS : WORK_MS);
}

/** Handles one request. */
function serve(
  state: soakResponses.ServerState,
  request: backendServerStandIn.ReceivedRequest,
  socket: net.Socket,
): void {
  const { attemptId: id, serverId } = platformFixtures.parseForwardedRequest(request);
  const { arrivals } = state.records;
  arrivals.set(id, [...(arrivals.get(id) ?? []), state.readNow()]);
  state.limit?.arrivals.push({ id, atMs: state.readNow() });
  state.statement?.arrivals.push({ id, atMs: state.readNow() });
  const send = (response: string) => soakExtraResponses.sendResponse(state.extra, socket, response);
  if (serverId !== state.id) {
    send(platformFixtures.buildMisdirectedResponse(request));
    return;
  }
  if (refuseWithBackoff(state, request, send)) {
    return;
  }
  if (state.active >= SLOTS) {
    send(backendServerStandIn.buildNotRunResponse(request));
    return;
  }
  const run = recordRun(state, request);
  soakExtraResponses.addRun(state.extra, socket, run);
  const end = holdSlot(state, run, socket);
  setTimeout(
    () => {
      if (run.endedMs > 0) {
        return;
      }
      if (soakRecords.isCrashing(run) || soakRecords.hasCrashingPart(run)) {
        end();
        state.crash();
      } else if (
        run.path.startsWith('/stream/') ||
        run.path.startsWith(soakResponses.RESUMABLE_PATH)
      ) {
        soakResponses.sendStream(state, request, socket, run, end);
      } else {
        end();
        soakResponses.sendPlain(state, request, socket, run);
      }
    },
    soakRecords.hasCrashingPart(run) ? CRASH_MS : drawWork(state),
  );
}

/** Starts a backend server of the soak test. */
export async function startSoakServer(
  id: string,
  version: string,
  failureDomain: string,
  draw: randomSource.DrawRandom,
  records: soakRecords.SoakRecords,
  readNow: () => number,
): Promise<SoakServer> {
  const runner = await backendServerStandIn.startBackendServerStandIn();
  const facts = { id, version, failureDomain, draw, records, readNow };
  const state: soakResponses.ServerState = {
    ...facts,
    active: 0,
    limit: undefined,
    statement: undefined,
    crash: () => {},
    unframedShare: 0,
    extra: soakExtraResponses.createExtraState(draw),
    drawWorkMs: undefined,
  };
  runner.setRequestHandler((request, socket) => serve(state, request, socket));
  const server: SoakServer = {
    id,
    port: runner.port,
    setLimit: (limit) => {
      state.limit = limit;
    },
    setStatement: (statement) => {
      state.statement = statement;
    },
    setCrash: (crash) => {
      state.crash = crash;
    },
    setUnframedShare: (share) => {
      state.unframedShare = share;
    },
    setExtraShare: (share) => {
      state.extra.share = share;
    },
    setWork: (drawWorkMs) => {
      state.drawWorkMs = drawWorkMs;
    },
    setBornMs: runner.setBornMs,
    rename: (changed, changedVersion) => {
      state.limit = undefined;
      state.statement = undefined;
      state.id = changed;
      state.version = changedVersion;
      server.id = changed;
    },
    stop: runner.stop,
  };
  return server;
}
