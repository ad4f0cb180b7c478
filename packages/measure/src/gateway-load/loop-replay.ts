/**
 * Replays a burst through the event loop of one gateway in virtual time. Each turn reads what has
 * arrived, admits or refuses it, and sends what the turn before admitted.
 */
import * as gateway from '@toucanproxy/core/gateway';
import * as proofs from '@toucanproxy/proofs';
import * as loadPattern from './load-pattern.js';

/** Decides what an event loop admits. */
export type LoopPolicy = {
  noteDelay: (delayMs: number, now: number) => void;
  /** Returns the time after which to retry, milliseconds, if the request is refused. */
  refuse: (kind: loadPattern.RequestKind, now: number) => number | undefined;
};

export type LoopOptions = {
  createPolicy: (drawRandom: proofs.DrawRandom) => LoopPolicy;
  /** Requests of the burst, as a multiple of the usual ones. */
  burst: number;
  burstMs: number;
  seed: number;
};

export type LoopResult = {
  asked: number;
  /** Sent on within the target, and later. */
  inTime: number;
  late: number;
  /** Refused twice, or once without time for a retry. */
  refused: number;
  /** Read after the caller had left. */
  left: number;
};

type LoopCall = {
  kind: loadPattern.RequestKind;
  result: LoopResult;
  sentMs: number;
  isRetry: boolean;
};

type Loop = {
  policy: LoopPolicy;
  /** Requests that have not been read, some of them still to be sent. */
  unread: LoopCall[];
  /** Requests that the next turn sends on. */
  admitted: LoopCall[];
  /** When responses arrive, milliseconds. */
  relayMs: number[];
  now: number;
  /** When the delay was last measured, milliseconds. */
  tickMs: number;
};

/** Cost of a request in time of the loop, milliseconds, on a quarter of a core. */
const ADMIT_MS = 2;
const SEND_MS = 2;
const RELAY_MS = 4;
const REFUSE_MS = 1.5;
/** Requests a second before and after the burst: three fifths of what the loop can do. */
const USUAL_PER_S = 75;
const BURST_FROM_MS = 4000;
const CALM_MS = 6000;
/** Time from sending a request on to its response, milliseconds. */
const RESPONSE_MS = 150;
/** Interval at which the delay of the loop is measured, milliseconds. */
const TICK_MS = 20;
const DEADLINE_MS = 2600;
const ABANDON_MS = DEADLINE_MS / 3;
const SECOND_MS = 1000;

/** Draws the kind of a request. */
function drawKind(draw: proofs.DrawRandom): loadPattern.RequestKind {
  let left = draw();
  return (
    loadPattern.KINDS.find(({ share }) => {
      left -= share;
      return left < 0;
    }) ?? loadPattern.KINDS[0]
  );
}

/** Draws the calls of a replay, in the order of time. */
function drawCalls(
  { burst, burstMs }: LoopOptions,
  results: Map<string, LoopResult>,
  draw: proofs.DrawRandom,
): LoopCall[] {
  const calls: LoopCall[] = [];
  const endMs = BURST_FROM_MS + burstMs + CALM_MS;
  let sentMs = 0;
  while (sentMs < endMs) {
    const isBurst = sentMs >= BURST_FROM_MS && sentMs < BURST_FROM_MS + burstMs;
    const perMs = (USUAL_PER_S * (isBurst ? burst : 1)) / SECOND_MS;
    sentMs -= Math.log(1 - draw()) / perMs;
    const kind = drawKind(draw);
    const result = results.get(kind.name) as LoopResult;
    result.asked += 1;
    calls.push({ kind, result, sentMs, isRetry: false });
  }
  return calls;
}

/** Handles a refusal; a caller retries once, at the advised time or after a third of its time. */
function refuse(loop: Loop, call: LoopCall, retryAfterMs: number): void {
  loop.now += REFUSE_MS;
  if (call.isRetry) {
    call.result.refused += 1;
  } else {
    const sentMs = loop.now + Math.min(retryAfterMs, ABANDON_MS);
    loop.unread.push({ ...call, sentMs, isRetry: true });
  }
}

/** Reads a request and admits or refuses it. */
function read(loop: Loop, call: LoopCall): void {
  if (loop.now - call.sentMs > ABANDON_MS) {
    loop.now += REFUSE_MS;
    call.result.left += 1;
    return;
  }
  const retryAfterMs = loop.policy.refuse(call.kind, loop.now);
  if (retryAfterMs !== undefined) {
    refuse(loop, call, retryAfterMs);
    return;
  }
  loop.now += ADMIT_MS;
  loop.admitted.push(call);
}

/** Sends a request on. */
function send(loop: Loop, { kind, result, sentMs }: LoopCall): void {
  loop.now += SEND_MS;
  result[loop.now - sentMs <= kind.targetMs ? 'inTime' : 'late'] += 1;
  loop.relayMs.push(loop.now + RESPONSE_MS);
}

/** Runs one turn of the event loop. */
function runTurn(loop: Loop): void {
  const { admitted, unread, relayMs } = loop;
  if (admitted.length === 0) {
    const nextMs = Math.min(...unread.map(({ sentMs }) => sentMs), ...relayMs);
    loop.now = Math.max(loop.now, nextMs);
  }
  const turnMs = loop.now;
  loop.admitted = [];
  loop.unread = unread.filter(({ sentMs }) => sentMs > turnMs);
  loop.relayMs = relayMs.filter((dueMs) => dueMs > turnMs);
  loop.now += (relayMs.length - loop.relayMs.length) * RELAY_MS;
  admitted.forEach((call) => send(loop, call));
  unread.filter(({ sentMs }) => sentMs <= turnMs).forEach((call) => read(loop, call));
  if (loop.now - loop.tickMs >= TICK_MS) {
    const sinceMs = Math.max(loop.tickMs, turnMs);
    loop.policy.noteDelay(Math.max(loop.now - sinceMs - TICK_MS, 0), loop.now);
    loop.tickMs = loop.now;
  }
}

/** Replays a burst; returns what became of the calls, by kind. */
export function runLoopReplay(options: LoopOptions): Map<string, LoopResult> {
  const draw = proofs.createRandomSource(options.seed);
  const results = new Map(
    loadPattern.KINDS.map(({ name }) => [
      name,
      { asked: 0, inTime: 0, late: 0, refused: 0, left: 0 },
    ]),
  );
  const unread = drawCalls(options, results, draw);
  const policy = options.createPolicy(draw);
  const loop: Loop = { policy, unread, admitted: [], relayMs: [], now: 0, tickMs: 0 };
  while (loop.unread.length + loop.admitted.length + loop.relayMs.length > 0) {
    runTurn(loop);
  }
  return results;
}

/** Admits everything. */
export function createOpenPolicy(): LoopPolicy {
  return { noteDelay: () => {}, refuse: () => undefined };
}

/** Refuses each request whose own target the last turn would miss twice, of any urgency. */
export function createTargetPolicy(): LoopPolicy {
  let lastMs = 0;
  return {
    noteDelay: (delayMs) => {
      lastMs = delayMs;
    },
    refuse: ({ targetMs }) => (lastMs * 2 > targetMs ? lastMs * 2 : undefined),
  };
}

/** Decides as a gateway does. */
export function createSharePolicy(drawRandom: proofs.DrawRandom): LoopPolicy {
  const load = gateway.createGatewayLoad();
  return {
    noteDelay: (delayMs, now) => {
      gateway.noteDelay(load, delayMs, now);
    },
    refuse: (kind, now) => gateway.findOverloadRefusal(load, kind, drawRandom, now)?.retryAfterMs,
  };
}
