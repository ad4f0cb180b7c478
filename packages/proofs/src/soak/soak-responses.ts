/** Sends the responses of a backend server of the soak test. */
import type * as net from 'node:net';
import * as backendServerStandIn from '@toucanproxy/platform/mocks/backend-server-stand-in';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import type * as randomSource from '../mocks/random-source.js';
import * as soakExtraResponses from './soak-extra-responses.js';
import * as soakRecords from './soak-records.js';

export type ServerState = {
  id: string;
  version: string;
  failureDomain: string;
  active: number;
  draw: randomSource.DrawRandom;
  records: soakRecords.SoakRecords;
  readNow: () => number;
  limit: soakRecords.LimitRecord | undefined;
  statement: soakRecords.StatementRecord | undefined;
  crash: () => void;
  /** Share of streams that have no length and end with their connection. */
  unframedShare: number;
  extra: soakExtraResponses.ExtraState;
  drawWorkMs: (() => number) | undefined;
};

/** How a stream is sent: chunked or without a length, and where it is broken off, if it is. */
type StreamShape = { head: string; isFramed: boolean; truncateAfter: number; cut: number };

/** Shares of requests that fail or have a truncated response. */
const FAILED_SHARE = 0.03;
const TRUNCATED_SHARE = 0.03;
const UNFRAMED_TRUNCATED_SHARE = 0.2;
/** Part of an event that a truncated stream with chunks has sent. */
const CUT = 0.2;
/** Share of plain responses without a Content-Length header, ended by closing the connection. */
const UNFRAMED_SHARE = 0.03;
export const RESUMABLE_PATH = '/resumable/';
const EVENT_MS = 10;

/** Adds the announced limit and statement to a response's headers and records that it did. */
function addStatements(state: ServerState, id: string, response: string): string {
  const { limit, statement, readNow } = state;
  const isLeaving = statement?.kind === soakRecords.StatementKind.LEAVING;
  limit?.announced.push({ id, atMs: readNow() });
  if (isLeaving) {
    statement.announced.push({ id, atMs: readNow() });
  }
  const limited = limit ? platformFixtures.addRateLimitHeader(response, limit.perSecond) : response;
  return isLeaving ? platformFixtures.addLeavingHeader(limited) : limited;
}

/** Builds an event of a run. */
function buildEvent({ id, path, version }: soakRecords.RunRecord, number: number): string {
  const isVersioned = path.startsWith(RESUMABLE_PATH);
  return soakRecords.buildEvent(id, number, isVersioned ? version : undefined);
}

/** Builds all events of a run. */
function buildEvents(run: soakRecords.RunRecord): string[] {
  const count = soakRecords.STREAM_EVENTS - run.resumeAfter;
  return Array.from({ length: count }, (_, index) => buildEvent(run, run.resumeAfter + index + 1));
}

/**
 * Sends the events of a stream. A truncated one is reset in the middle of an event; without a
 * length it ends there as a complete one does.
 */
function sendEvents(
  extra: soakExtraResponses.ExtraState,
  run: soakRecords.RunRecord,
  socket: net.Socket,
  { head, isFramed, truncateAfter, cut }: StreamShape,
  end: () => void,
): void {
  let number = run.resumeAfter;
  const frame = (text: string) => (isFramed ? backendServerStandIn.buildChunk(text) : text);
  const follow = (close: () => void) => {
    const body = buildEvents(run).join('');
    const isFollowed = soakExtraResponses.sendExtra(extra, socket, { head, body }, close);
    run.isMixedUp ||= isFollowed && (!isFramed || run.isBrokenOff);
  };
  const sendNext = () => {
    number += 1;
    const event = buildEvent(run, number);
    if (socket.destroyed) {
      end();
    } else if (number > truncateAfter) {
      run.isBrokenOff = true;
      // Two bytes less than the event: a CR alone would also end its last line.
      socket.write(frame(event.slice(0, 1 + Math.floor(cut * (event.length - 2)))));
      end();
      follow(() => socket[isFramed ? 'resetAndDestroy' : 'end']());
    } else if (number > soakRecords.STREAM_EVENTS) {
      run.isWhole = true;
      socket.write(isFramed ? '0\r\n\r\n' : '');
      end();
      follow(() => (isFramed ? undefined : socket.end()));
    } else {
      socket.write(frame(event));
      setTimeout(sendNext, EVENT_MS);
    }
  };
  sendNext();
}

/** Draws how a stream is sent, and sends it. */
export function sendStream(
  state: ServerState,
  request: backendServerStandIn.ReceivedRequest,
  socket: net.Socket,
  run: soakRecords.RunRecord,
  end: () => void,
): void {
  const { draw, unframedShare } = state;
  const isFramed = unframedShare === 0 || draw() >= unframedShare;
  const isTruncated = draw() < (isFramed ? TRUNCATED_SHARE : UNFRAMED_TRUNCATED_SHARE);
  const head = addStatements(state, run.id, backendServerStandIn.buildStreamHead(request));
  socket.write(isFramed ? head : head.replace('\r\nTransfer-Encoding: chunked', ''));
  const truncateAfter = isTruncated ? run.resumeAfter + 2 : Infinity;
  const shape = { head, isFramed, truncateAfter, cut: isFramed ? CUT : draw() };
  sendEvents(state.extra, run, socket, shape, end);
}

/** Sends a plain response without a length, which ends with its connection. */
function sendUnframed(
  extra: soakExtraResponses.ExtraState,
  socket: net.Socket,
  run: soakRecords.RunRecord,
  response: string,
): void {
  const text = response.replace(/Content-Length: \d+\r\n/, '');
  socket.write(text);
  const parts = soakExtraResponses.parseResponse(text);
  run.isMixedUp ||= soakExtraResponses.sendExtra(extra, socket, parts, () => socket.end());
}

/** Sends a plain response: complete, truncated, failed or without a length. */
export function sendPlain(
  state: ServerState,
  request: backendServerStandIn.ReceivedRequest,
  socket: net.Socket,
  run: soakRecords.RunRecord,
): void {
  const chance = state.draw();
  const isFailed = chance < FAILED_SHARE;
  const bare = isFailed
    ? platformFixtures.buildFailedResponse(request)
    : backendServerStandIn.buildResponse(request, `${run.id} for ${run.workspace}`);
  const response = addStatements(state, run.id, bare);
  if (isFailed) {
    soakExtraResponses.sendResponse(state.extra, socket, response);
  } else if (chance < FAILED_SHARE + TRUNCATED_SHARE) {
    run.isBrokenOff = true;
    socket.write(response.slice(0, -3));
    soakExtraResponses.sendExtra(
      state.extra,
      socket,
      soakExtraResponses.parseResponse(response),
      () => socket.resetAndDestroy(),
    );
  } else if (chance < FAILED_SHARE + TRUNCATED_SHARE + UNFRAMED_SHARE) {
    run.isWhole = true;
    sendUnframed(state.extra, socket, run, response);
  } else {
    run.isWhole = true;
    soakExtraResponses.sendResponse(state.extra, socket, response);
  }
}
