/** A model engine under a virtual clock: a batch, and a queue that knows no tiers. */
import * as agentEvent from '../agent-event.js';
import * as bench from './agent-bench.js';

type Run = { refKey: string; prefillSteps: number; tokensLeft: number; begun: boolean };

export type BatchEngine = {
  maxBatch: number;
  waiting: Run[];
  batch: Run[];
};

export const STEP_MS = 4;
const PREFILL_TOKENS_PER_STEP = 512;
const BYTES_PER_TOKEN = 4;
const STREAM = 'text/event-stream';
const PIECE = new Uint8Array(1);

/** Takes in what the agent starts; an answer has half of the estimated tokens. */
export function admit(engine: BatchEngine, effects: agentEvent.AgentEffect[]): void {
  effects.forEach((effect) => {
    if (effect.kind === 'startOnEngine') {
      const { offer, refKey } = effect;
      const promptTokens = offer.payload.length / BYTES_PER_TOKEN;
      const prefillSteps = Math.ceil(promptTokens / PREFILL_TOKENS_PER_STEP);
      const tokensLeft = Math.ceil(offer.estimatedTokens / 2);
      engine.waiting.push({ refKey, prefillSteps, tokensLeft, begun: false });
    }
  });
}

/** Gives one run its part of a step and reports what comes of it. */
function advanceRun(agent: bench.Bench, run: Run): agentEvent.AgentEffect[] {
  const { refKey } = run;
  if (run.prefillSteps > 0) {
    run.prefillSteps -= 1;
    return [];
  }
  run.tokensLeft -= 1;
  const effects: agentEvent.AgentEffect[] = [];
  if (!run.begun) {
    run.begun = true;
    const head = { kind: 'engineHead', refKey, status: 200, contentType: STREAM } as const;
    effects.push(...bench.handle(agent, head));
  }
  effects.push(...bench.handle(agent, { kind: 'engineData', refKey, data: PIECE }));
  if (run.tokensLeft <= 0) {
    effects.push(...bench.handle(agent, { kind: 'engineEnd', refKey }));
  }
  return effects;
}

/** Does one step. */
export function advance(engine: BatchEngine, agent: bench.Bench): agentEvent.AgentEffect[] {
  while (engine.batch.length < engine.maxBatch && engine.waiting.length > 0) {
    engine.batch.push(engine.waiting.shift() as Run);
  }
  const effects = engine.batch.flatMap((run) => advanceRun(agent, run));
  engine.batch = engine.batch.filter((run) => run.tokensLeft > 0);
  admit(engine, effects);
  return effects;
}
