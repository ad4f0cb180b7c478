/**
 * An inference engine under a virtual clock: continuous batching with a prefill
 * budget per step, a bounded batch, a prefix cache of limited size, and a journal
 * that survives crashes. It does not know tiers.
 */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callPayload from './call-payload.js';

export type EngineSpeed = {
  /** Duration of one step, milliseconds. */
  stepMs: number;
  maxBatch: number;
  /** Prompt tokens that all requests together prefill in one step. */
  prefillTokensPerStep: number;
  /** Output tokens in one streamed chunk. */
  tokensPerPiece: number;
  /** Capacity of the prefix cache in blocks; 0 for no cache. */
  cachedBlocks: number;
  /** Prompt tokens in one prefix block. */
  blockTokens: number;
  /** Time from a crash until the engine is available again, milliseconds. */
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

/** `cut` is a run that was cancelled. */
export type JournalEvent = 'start' | 'end' | 'cut' | 'crash';

export type JournalLine = {
  atMs: number;
  engineId: string;
  event: JournalEvent;
  refKey: string;
  requestId: string;
  payload: callPayload.CallPayload;
  /** Whether the request may be dispatched again. */
  repeatable: boolean;
  /** Prompt tokens prefilled so far. */
  prefilledTokens: number;
};

type EngineRun = {
  refKey: string;
  offer: schema.Offer;
  payload: callPayload.CallPayload;
  onEvent: EngineEventHandler;
  /** Progress of the run, in tokens. */
  prefillTokensLeft: number;
  prefilled: number;
  produced: number;
  sent: number;
  headSent: boolean;
};

export type EngineEventHandler = (event: core.AgentEvent) => void;

export type VirtualEngine = {
  id: string;
  speed: EngineSpeed;
  /** Factor on the step time; greater than 1 while the engine is slowed down. */
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
  /** Called with each journal line as it is written. */
  onJournalLine: (line: JournalLine) => void;
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

/** Writes one journal line. */
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
  engine.clock.onJournalLine(line);
}

/** Adds the blocks of a prefix to the cache; returns how many leading blocks were cached before. */
function updatePrefixCache(engine: VirtualEngine, hashes: readonly number[]): number {
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

/** Starts one attempt. */
export function startRun(
  engine: VirtualEngine,
  refKey: string,
  offer: schema.Offer,
  onEvent: EngineEventHandler,
): void {
  if (!engine.up) {
    onEvent({ kind: 'engineFailed', refKey, fault: core.EngineFault.UNREACHABLE });
    return;
  }
  const payload = callPayload.decodePayload(offer.payload);
  const hits = updatePrefixCache(engine, offer.prefixHashes);
  const prefillTokensLeft = Math.max(0, payload.promptTokens - hits * engine.speed.blockTokens);
  const progress = {
    prefillTokensLeft,
    prefilled: 0,
    produced: 0,
    sent: 0,
    headSent: false,
  };
  const run: EngineRun = { refKey, offer, payload, onEvent, ...progress };
  engine.waiting.push(run);
  writeJournal(engine, 'start', run);
  if (payload.crash) {
    failEngine(engine);
    return;
  }
  scheduleStep(engine);
}

/** Schedules the next step if there is work and none is scheduled yet. */
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

/** Sends the response head before the first chunk. */
function sendHead(run: EngineRun): void {
  if (!run.headSent) {
    run.headSent = true;
    const contentType = run.payload.stream ? 'text/event-stream' : 'application/json';
    run.onEvent({ kind: 'engineHead', refKey: run.refKey, status: 200, contentType });
  }
}

/** Sends the tokens that were produced and not yet sent. */
function sendPiece(run: EngineRun): void {
  if (run.produced > run.sent) {
    sendHead(run);
    const text = callPayload.buildWords(run.payload, run.sent, run.produced);
    run.sent = run.produced;
    run.onEvent({ kind: 'engineData', refKey: run.refKey, data: encoder.encode(text) });
  }
}

/** Advances one run by a step, within the prefill budget; returns whether it has ended. */
function advanceRun(engine: VirtualEngine, run: EngineRun, budget: { tokens: number }): boolean {
  if (run.prefillTokensLeft > 0) {
    const done = Math.min(run.prefillTokensLeft, budget.tokens);
    run.prefillTokensLeft -= done;
    run.prefilled += done;
    budget.tokens -= done;
    return false;
  }
  run.produced += 1;
  const isComplete = run.produced >= run.payload.answerTokens;
  if (
    isComplete ||
    (run.payload.stream && run.produced - run.sent >= engine.speed.tokensPerPiece)
  ) {
    sendPiece(run);
  }
  if (isComplete) {
    writeJournal(engine, 'end', run);
    run.onEvent({ kind: 'engineEnd', refKey: run.refKey });
  }
  return isComplete;
}

/** Runs one step: admits waiting requests in order, then advances each run of the batch. */
function runStep(engine: VirtualEngine): void {
  if (!engine.up) {
    return;
  }
  const free = Math.max(0, engine.speed.maxBatch - engine.batch.length);
  engine.batch.push(...engine.waiting.splice(0, free));
  const budget = { tokens: engine.speed.prefillTokensPerStep };
  engine.batch = engine.batch.filter((run) => !advanceRun(engine, run, budget));
}

/** Crashes the engine: every run fails, and the engine is up again after its restart time. */
export function failEngine(engine: VirtualEngine): void {
  const lost = [...engine.batch, ...engine.waiting];
  engine.batch = [];
  engine.waiting = [];
  engine.cache.clear();
  engine.up = false;
  lost.forEach((run) => {
    writeJournal(engine, 'crash', run);
    const { refKey } = run;
    run.onEvent({ kind: 'engineFailed', refKey, fault: core.EngineFault.CRASHED });
  });
  engine.clock.schedule(engine.speed.restartMs, () => {
    engine.up = true;
  });
}

/** Cancels the runs whose attempt `selects` returns true for. */
export function cancelRuns(engine: VirtualEngine, selects: (refKey: string) => boolean): void {
  const cancelled = [...engine.batch, ...engine.waiting].filter((run) => selects(run.refKey));
  engine.batch = engine.batch.filter((run) => !cancelled.includes(run));
  engine.waiting = engine.waiting.filter((run) => !cancelled.includes(run));
  cancelled.forEach((run) => {
    writeJournal(engine, 'cut', run);
    run.onEvent({ kind: 'engineFailed', refKey: run.refKey, fault: core.EngineFault.FAILED });
  });
}
