/** A backend server of a soak: answers well, badly or not at all, and may crash. */
import type * as net from 'node:net';
import * as runnerStandIn from '@toucanproxy/platform/mocks/backend-server-stand-in';
import * as standInWire from '@toucanproxy/platform/mocks/platform-fixtures';
import * as randomSource from '../mocks/random-source.js';
import * as soakRecords from './soak-records.js';

export type SoakServer = {
  id: string;
  port: number;
  /** Takes the id of a new life; requests for another one are answered 421. */
  rename: (id: string) => void;
  /** Names a rate limit in all answers from now on, or none. */
  setLimit: (limit: soakRecords.LimitRecord | undefined) => void;
  /** States something about itself from now on, or nothing. */
  setStatement: (statement: soakRecords.StatementRecord | undefined) => void;
  stop: () => void;
};

type ServerState = {
  id: string;
  failureDomain: string;
  active: number;
  draw: randomSource.DrawRandom;
  records: soakRecords.SoakRecords;
  readNow: () => number;
  limit: soakRecords.LimitRecord | undefined;
  statement: soakRecords.StatementRecord | undefined;
};

/** Requests that it works on at once. */
export const SLOTS = 4;
/** Share of requests that end badly, by the way in which they do. */
const FAILED_SHARE = 0.03;
const CUT_SHARE = 0.03;
const SLOW_SHARE = 0.05;
/** Share of requests that one refuses which asks for a backoff. */
const REFUSED_SHARE = 0.8;
const UNFRAMED_SHARE = 0.03;
const WORK_MS = 15;
const SLOW_MS = 400;
const EVENT_MS = 10;

/** Notes a request that begins to run. */
function noteRun(
  state: ServerState,
  request: runnerStandIn.ReceivedRequest,
): soakRecords.RunRecord {
  const { attemptId, workspace, hasCredential, resumeAfter } =
    standInWire.parseForwardedRequest(request);
  const [method, path] = request.requestLine.split(' ');
  const run = {
    id: attemptId,
    server: state.id,
    failureDomain: state.failureDomain,
    method,
    path,
    body: request.body,
    workspace,
    hasCredential,
    resumeAfter,
    atMs: state.readNow(),
  };
  state.records.runs.push(run);
  return run;
}

/** Adds what it states to the head of an answer, and notes that its gateway was told. */
function addStatements(state: ServerState, id: string, answer: string): string {
  const { limit, statement, readNow } = state;
  const isLeaving = statement?.kind === soakRecords.StatementKind.LEAVING;
  limit?.told.push({ id, atMs: readNow() });
  if (isLeaving) {
    statement.told.push({ id, atMs: readNow() });
  }
  const limited = limit ? standInWire.addRateLimitHeader(answer, limit.perSecond) : answer;
  return isLeaving ? standInWire.addLeavingHeader(limited) : limited;
}

/** Refuses a request as it wants nothing for a while; false where it takes it. */
function refuseWithBackoff(
  { statement, draw, readNow }: ServerState,
  request: runnerStandIn.ReceivedRequest,
  socket: net.Socket,
): boolean {
  const isAsking = statement?.kind === soakRecords.StatementKind.BACKOFF;
  if (!isAsking || draw() >= REFUSED_SHARE) {
    return false;
  }
  const { attemptId: id } = standInWire.parseForwardedRequest(request);
  statement.told.push({ id, atMs: readNow() });
  socket.write(standInWire.buildBackoffResponse(request, statement.backoffMs));
  return true;
}

/** Sends the events of a stream; one that is to be cut ends inside an event. */
function sendEvents(
  run: soakRecords.RunRecord,
  socket: net.Socket,
  cutAfter: number,
  end: () => void,
): void {
  let number = run.resumeAfter;
  const sendNext = () => {
    number += 1;
    if (socket.destroyed || number > cutAfter) {
      socket.write(runnerStandIn.buildChunk(soakRecords.buildEvent(run.id, number).slice(0, 7)));
      socket.resetAndDestroy();
      end();
      return;
    }
    if (number > soakRecords.STREAM_EVENTS) {
      socket.write('0\r\n\r\n');
      end();
      return;
    }
    socket.write(runnerStandIn.buildChunk(soakRecords.buildEvent(run.id, number)));
    setTimeout(sendNext, EVENT_MS);
  };
  sendNext();
}

/** Sends a plain answer: whole, cut, failed or without a length. */
function sendPlain(
  state: ServerState,
  request: runnerStandIn.ReceivedRequest,
  socket: net.Socket,
  run: soakRecords.RunRecord,
): void {
  const luck = state.draw();
  const whole = runnerStandIn.buildResponse(request, `${run.id} for ${run.workspace}`);
  const answer = addStatements(state, run.id, whole);
  if (luck < FAILED_SHARE) {
    socket.write(standInWire.buildFailedResponse(request));
  } else if (luck < FAILED_SHARE + CUT_SHARE) {
    socket.write(answer.slice(0, -3), () => socket.resetAndDestroy());
  } else if (luck < FAILED_SHARE + CUT_SHARE + UNFRAMED_SHARE) {
    socket.end(answer.replace(/Content-Length: \d+\r\n/, ''));
  } else {
    socket.write(answer);
  }
}

/** Works on one request. */
function serve(
  state: ServerState,
  request: runnerStandIn.ReceivedRequest,
  socket: net.Socket,
): void {
  const { attemptId: id, serverId } = standInWire.parseForwardedRequest(request);
  const { arrivals } = state.records;
  arrivals.set(id, [...(arrivals.get(id) ?? []), state.readNow()]);
  state.limit?.arrivals.push({ id, atMs: state.readNow() });
  state.statement?.arrivals.push({ id, atMs: state.readNow() });
  if (serverId !== state.id) {
    socket.write(standInWire.buildMisdirectedResponse(request));
    return;
  }
  if (refuseWithBackoff(state, request, socket)) {
    return;
  }
  if (state.active >= SLOTS) {
    socket.write(runnerStandIn.buildNotRunResponse(request));
    return;
  }
  state.active += 1;
  const run = noteRun(state, request);
  const end = () => {
    state.active -= 1;
  };
  setTimeout(
    () => {
      if (run.path.startsWith('/stream/') || run.path.startsWith('/resumable/')) {
        const isCut = state.draw() < CUT_SHARE;
        socket.write(addStatements(state, id, runnerStandIn.buildStreamHead(request)));
        sendEvents(run, socket, isCut ? run.resumeAfter + 2 : Infinity, end);
      } else {
        sendPlain(state, request, socket, run);
        end();
      }
    },
    state.draw() < SLOW_SHARE ? SLOW_MS : WORK_MS,
  );
}

/** Starts a backend server. */
export async function startSoakServer(
  id: string,
  failureDomain: string,
  draw: randomSource.DrawRandom,
  records: soakRecords.SoakRecords,
  readNow: () => number,
): Promise<SoakServer> {
  const runner = await runnerStandIn.startBackendServerStandIn();
  const facts = { id, failureDomain, draw, records, readNow };
  const state: ServerState = { ...facts, active: 0, limit: undefined, statement: undefined };
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
    rename: (changed) => {
      state.limit = undefined;
      state.statement = undefined;
      state.id = changed;
      server.id = changed;
    },
    stop: runner.stop,
  };
  return server;
}
