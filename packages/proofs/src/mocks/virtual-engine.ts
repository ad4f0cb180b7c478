/**
 * An engine under a virtual clock: continuous batching with a prefill budget
 * for each step, a bounded batch, a prompt prefix cache in limited memory and a
 * journal that outlives its crashes. It knows no tiers.
 */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callPayload from './call-payload.js';

export type EngineSpeed = {
  /** Duration of one step, milliseconds. */
  stepMs: number;
  maxBatch: number;
  /** Prompt tokens worked through in one step, over all requests. */
  prefillTokensPerStep: number;
  /** Answer tokens in one streamed piece. */
  tokensPerPiece: number;
  /** Prefix blocks kept; 0 for no cache. */
  cachedBlocks: number;
  /** Prompt tokens in one prefix block. */
  blockTokens: number;
  /** Time a crashed engine takes to come back, milliseconds. */
  restartMs: number;
};

export const DEFAULT_ENGINE_SPEED: EngineSpeed = {
  stepMs: 10,
  maxBatch: 8,
  prefillTokensPerStep: 512,
  tokensPerPiece: 4,
  cachedBlocks: 0,
  blockTokens: 64,
  restartMs: 1000,
};

export type JournalEvent = 'start' | 'end' | 'cut' | 'crash';

export type JournalLine = {
  atMs: number;
  engineId: string;
  event: JournalEvent;
  refKey: string;
  requestId: string;
  payload: callPayload.CallPayload;
  /** The request may be dispatched again. */
  repeatable: boolean;
  /** Prompt tokens worked through so far. */
  prefilledTokens: number;
};

type EngineRun = {
  refKey: string;
  offer: schema.Offer;
  payload: callPayload.CallPayload;
  report: Report;
  prefillLeft: number;
  prefilled: number;
  produced: number;
  sent: number;
  headSent: boolean;
};

export type Report = (event: core.AgentEvent) => void;

export type VirtualEngine = {
  id: string;
  speed: EngineSpeed;
  /** Factor on the step time; more than 1 while the engine is slow. */
  slowdown: number;
  up: boolean;
  waiting: EngineRun[];
  batch: EngineRun[];
  stepping: boolean;
  cache: Set<number>;
  journal: JournalLine[];
  clock: EngineClock;
};

export type EngineClock = {
  getNow: () => number;
  schedule: (delayMs: number, action: () => void) => void;
  /** Called with each line as it is written. */
  journalWritten: (line: JournalLine) => void;
};

const encoder = new TextEncoder();

/** Creates an engine that is up and idle. */
export function createVirtualEngine(
  id: string,
  speed: EngineSpeed,
  clock: EngineClock,
): VirtualEngine {
  const idle = { waiting: [], batch: [], stepping: false, cache: new Set<number>(), journal: [] };
  return { id, speed, slowdown: 1, up: true, ...idle, clock };
}

/** Writes one line. */
function writeJournal(engine: VirtualEngine, event: JournalEvent, run: EngineRun): void {
  const line: JournalLine = {
    atMs: engine.clock.getNow(),
    engineId: engine.id,
    event,
    refKey: run.refKey,
    requestId: run.offer.ref?.requestId ?? '',
    payload: run.payload,
    repeatable: run.offer.repeatable,
    prefilledTokens: run.prefilled,
  };
  engine.journal.push(line);
  engine.clock.journalWritten(line);
}

/** Counts the leading blocks that are cached, and caches all of them. */
function recordPrefix(engine: VirtualEngine, hashes: readonly number[]): number {
  if (engine.speed.cachedBlocks === 0) {
    return 0;
  }
  const missing = hashes.findIndex((hash) => !engine.cache.has(hash));
  hashes.forEach((hash) => {
    engine.cache.delete(hash);
    engine.cache.add(hash);
  });
  [...engine.cache]
    .slice(0, Math.max(0, engine.cache.size - engine.speed.cachedBlocks))
    .forEach((hash) => engine.cache.delete(hash));
  return missing === -1 ? hashes.length : missing;
}

/** Takes in one attempt. */
export function startRun(
  engine: VirtualEngine,
  refKey: string,
  offer: schema.Offer,
  report: Report,
): void {
  if (!engine.up) {
    report({ kind: 'engineFailed', refKey, fault: core.EngineFault.UNREACHABLE });
    return;
  }
  const payload = callPayload.decodePayload(offer.payload);
  const hits = recordPrefix(engine, offer.prefixHashes);
  const prefillLeft = Math.max(0, payload.promptTokens - hits * engine.speed.blockTokens);
  const progress = { prefillLeft, prefilled: 0, produced: 0, sent: 0, headSent: false };
  const run: EngineRun = { refKey, offer, payload, report, ...progress };
  engine.waiting.push(run);
  writeJournal(engine, 'start', run);
  if (payload.crash) {
    failEngine(engine);
    return;
  }
  scheduleStep(engine);
}

/** Schedules the next step while there is work. */
function scheduleStep(engine: VirtualEngine): void {
  const busy = engine.batch.length > 0 || engine.waiting.length > 0;
  if (engine.stepping || !busy) {
    return;
  }
  engine.stepping = true;
  engine.clock.schedule(engine.speed.stepMs * engine.slowdown, () => {
    engine.stepping = false;
    runStep(engine);
    scheduleStep(engine);
  });
}

/** Sends the head before the first piece. */
function sendHead(run: EngineRun): void {
  if (!run.headSent) {
    run.headSent = true;
    const contentType = run.payload.stream ? 'text/event-stream' : 'application/json';
    run.report({ kind: 'engineHead', refKey: run.refKey, status: 200, contentType });
  }
}

/** Sends the words that were produced and not sent. */
function sendPiece(run: EngineRun): void {
  if (run.produced > run.sent) {
    sendHead(run);
    const text = callPayload.buildWords(run.payload, run.sent, run.produced);
    run.sent = run.produced;
    run.report({ kind: 'engineData', refKey: run.refKey, data: encoder.encode(text) });
  }
}

/** Gives one run its part of a step; true once it has ended. */
function advanceRun(engine: VirtualEngine, run: EngineRun, budget: { tokens: number }): boolean {
  if (run.prefillLeft > 0) {
    const done = Math.min(run.prefillLeft, budget.tokens);
    run.prefillLeft -= done;
    run.prefilled += done;
    budget.tokens -= done;
    return false;
  }
  run.produced += 1;
  const whole = run.produced >= run.payload.answerTokens;
  if (whole || (run.payload.stream && run.produced - run.sent >= engine.speed.tokensPerPiece)) {
    sendPiece(run);
  }
  if (whole) {
    writeJournal(engine, 'end', run);
    run.report({ kind: 'engineEnd', refKey: run.refKey });
  }
  return whole;
}

/** Does one step: admits requests in order, then serves each of the batch. */
function runStep(engine: VirtualEngine): void {
  if (!engine.up) {
    return;
  }
  const free = Math.max(0, engine.speed.maxBatch - engine.batch.length);
  engine.batch.push(...engine.waiting.splice(0, free));
  const budget = { tokens: engine.speed.prefillTokensPerStep };
  engine.batch = engine.batch.filter((run) => !advanceRun(engine, run, budget));
}

/** Ends every run and comes back after a while. */
export function failEngine(engine: VirtualEngine): void {
  const lost = [...engine.batch, ...engine.waiting];
  engine.batch = [];
  engine.waiting = [];
  engine.cache.clear();
  engine.up = false;
  lost.forEach((run) => {
    writeJournal(engine, 'crash', run);
    const { refKey } = run;
    run.report({ kind: 'engineFailed', refKey, fault: core.EngineFault.CRASHED });
  });
  engine.clock.schedule(engine.speed.restartMs, () => {
    engine.up = true;
  });
}

/** Cuts the runs that a test of their attempt selects. */
export function cancelRuns(engine: VirtualEngine, selects: (refKey: string) => boolean): void {
  const cut = [...engine.batch, ...engine.waiting].filter((run) => selects(run.refKey));
  engine.batch = engine.batch.filter((run) => !cut.includes(run));
  engine.waiting = engine.waiting.filter((run) => !cut.includes(run));
  cut.forEach((run) => {
    writeJournal(engine, 'cut', run);
    run.report({ kind: 'engineFailed', refKey: run.refKey, fault: core.EngineFault.FAILED });
  });
}
