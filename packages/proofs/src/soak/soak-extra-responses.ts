/** Has backend servers of the soak test respond to a request a second time. */
import type * as net from 'node:net';
import * as backendServerStandIn from '@toucanproxy/platform/mocks/backend-server-stand-in';
import * as randomSource from '../mocks/random-source.js';
import type * as soakRecords from './soak-records.js';

enum Framing {
  LENGTH = 'length',
  CHUNKS = 'chunks',
  NONE = 'none',
}

/** How a second response is sent. */
type ExtraResponse = {
  framing: Framing;
  /** Time after the first response, milliseconds. */
  delayMs: number;
  /** Part of the bytes after the status line that is sent; 1 if the response is whole. */
  sentShare: number;
  /** The server closes the connection after it. */
  closes: boolean;
};

type MarkedRun = Pick<soakRecords.RunRecord, 'endedMs' | 'isMixedUp'>;

/** Connections with second responses, and the runs on each connection. */
export type ExtraState = {
  draw: randomSource.DrawRandom;
  /** Share of responses that are followed by a second one. */
  share: number;
  sockets: WeakSet<net.Socket>;
  runs: WeakMap<net.Socket, MarkedRun[]>;
};

const MAX_DELAY_MS = 400;
/** Cut responses of which less than this part is sent are followed by a whole one at once. */
const FOLLOWED_SHARE = 0.4;
/** Share of second responses that follow at once, and of those that are cut. */
const AT_ONCE_SHARE = 0.3;
const CUT_SHARE = 0.4;
const CLOSING_SHARE = 0.3;
const FRAMINGS = Object.values(Framing);
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
const FRAMING_LINE = /\r\n(content-length|transfer-encoding):[^\r]*/gi;

/** Creates the state of a backend server that responds once to each request. */
export function createExtraState(draw: randomSource.DrawRandom): ExtraState {
  return { draw, share: 0, sockets: new WeakSet(), runs: new WeakMap() };
}

/** Draws the second response to a request; undefined if there is none. */
function drawExtra({ draw, share }: ExtraState): ExtraResponse | undefined {
  // Draws nothing without a share, so that a seed keeps its other events.
  if (share === 0 || draw() >= share) {
    return undefined;
  }
  const framing = randomSource.drawFrom(draw, FRAMINGS);
  return {
    framing,
    delayMs: draw() < AT_ONCE_SHARE ? 0 : randomSource.drawBetween(draw, 0, MAX_DELAY_MS),
    sentShare: draw() < CUT_SHARE ? draw() : 1,
    closes: framing === Framing.NONE || draw() < CLOSING_SHARE,
  };
}

/** Returns a head with the header that a framing needs, and without any other of this kind. */
function setFraming(head: string, framing: Framing, bodyBytes: number): string {
  const bare = head.replace(FRAMING_LINE, '');
  const lines = {
    [Framing.LENGTH]: `${LINE_END}Content-Length: ${bodyBytes}`,
    [Framing.CHUNKS]: `${LINE_END}Transfer-Encoding: chunked`,
    [Framing.NONE]: '',
  };
  return bare.replace(HEAD_END, `${lines[framing]}${HEAD_END}`);
}

/**
 * Builds the bytes of a second response. A cut one keeps its status line: shorter ones are no
 * different from bytes of the first response. One that is cut early is followed by a whole one.
 */
export function buildExtra(
  head: string,
  body: string,
  { framing, sentShare }: Pick<ExtraResponse, 'framing' | 'sentShare'>,
): string {
  const chunked = `${body === '' ? '' : backendServerStandIn.buildChunk(body)}0${HEAD_END}`;
  const framed = framing === Framing.CHUNKS ? chunked : body;
  const text = `${setFraming(head, framing, Buffer.byteLength(body))}${framed}`;
  const kept = text.indexOf(LINE_END) + LINE_END.length;
  const sent = text.slice(0, kept + Math.floor(sentShare * (text.length - kept)));
  return sentShare < FOLLOWED_SHARE ? `${sent}${text}` : sent;
}

/** Records a run on a connection; its response may be unreadable behind a second one. */
export function addRun({ sockets, runs }: ExtraState, socket: net.Socket, run: MarkedRun): void {
  Object.assign(run, { isMixedUp: sockets.has(socket) });
  runs.set(socket, [...(runs.get(socket) ?? []), run]);
}

/** Marks the runs on a connection whose responses have not ended when a second one begins. */
function markRuns({ sockets, runs }: ExtraState, socket: net.Socket): void {
  sockets.add(socket);
  (runs.get(socket) ?? [])
    .filter(({ endedMs }) => endedMs === 0)
    .forEach((run) => Object.assign(run, { isMixedUp: true }));
}

/**
 * Draws whether a response is followed by a second one, sends that, then closes the connection.
 * Returns whether there is a second one.
 */
export function sendExtra(
  state: ExtraState,
  socket: net.Socket,
  { head, body }: { head: string; body: string },
  close: () => void = () => {},
): boolean {
  const extra = drawExtra(state);
  if (extra === undefined) {
    close();
    return false;
  }
  const send = () => {
    if (socket.writable) {
      markRuns(state, socket);
      socket.write(buildExtra(head, body, extra));
      (extra.closes ? () => socket.end() : close)();
    }
  };
  if (extra.delayMs === 0) {
    send();
  } else {
    setTimeout(send, extra.delayMs);
  }
  return true;
}

/** Parses a response into its head and its body. */
export function parseResponse(response: string): { head: string; body: string } {
  const bodyAt = response.indexOf(HEAD_END) + HEAD_END.length;
  return { head: response.slice(0, bodyAt), body: response.slice(bodyAt) };
}

/** Sends a response with a length, and a second one if that is drawn. */
export function sendResponse(state: ExtraState, socket: net.Socket, response: string): void {
  socket.write(response);
  sendExtra(state, socket, parseResponse(response));
}
