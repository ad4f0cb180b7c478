/** A simulated model engine under a virtual clock: a batch, and a queue without tiers. */
import * as agentEvent from '../agent-event.js';
import * as agentFixture from './agent-fixture.js';

type Run = { refKey: string; prefillSteps: number; tokensLeft: number; headSent: boolean };

export type BatchEngine = {
  maxBatch: number;
  waiting: Run[];
  batch: Run[];
};

export const STEP_MS = 4;
const PREFILL_TOKENS_PER_STEP = 512;
const BYTES_PER_TOKEN = 4;
const EVENT_STREAM = 'text/event-stream';
const CHUNK = new Uint8Array(1);

/** Queues what the agent starts; a response has half of the estimated tokens. */
export function admit(engine: BatchEngine, effects: agentEvent.AgentEffect[]): void {
  effects.forEach((effect) => {
    if (effect.kind === 'startOnEngine') {
      const { offer, refKey } = effect;
      const promptTokens = offer.payload.length / BYTES_PER_TOKEN;
      const prefillSteps = Math.ceil(promptTokens / PREFILL_TOKENS_PER_STEP);
      const tokensLeft = Math.ceil(offer.estimatedTokens / 2);
      engine.waiting.push({ refKey, prefillSteps, tokensLeft, headSent: false });
    }
  });
}

/** Advances one run by a step and reports its events to the agent. */
function advanceRun(agent: agentFixture.AgentFixture, run: Run): agentEvent.AgentEffect[] {
  const { refKey } = run;
  if (run.prefillSteps > 0) {
    run.prefillSteps -= 1;
    return [];
  }
  run.tokensLeft -= 1;
  const effects: agentEvent.AgentEffect[] = [];
  if (!run.headSent) {
    run.headSent = true;
    const head = { kind: 'engineHead', refKey, status: 200, contentType: EVENT_STREAM } as const;
    effects.push(...agentFixture.handle(agent, head));
  }
  effects.push(...agentFixture.handle(agent, { kind: 'engineData', refKey, data: CHUNK }));
  if (run.tokensLeft <= 0) {
    effects.push(...agentFixture.handle(agent, { kind: 'engineEnd', refKey }));
  }
  return effects;
}

/** Fills the batch and advances its runs by one step. */
export function advance(
  engine: BatchEngine,
  agent: agentFixture.AgentFixture,
): agentEvent.AgentEffect[] {
  while (engine.batch.length < engine.maxBatch && engine.waiting.length > 0) {
    engine.batch.push(engine.waiting.shift() as Run);
  }
  const effects = engine.batch.flatMap((run) => advanceRun(agent, run));
  engine.batch = engine.batch.filter((run) => run.tokensLeft > 0);
  admit(engine, effects);
  return effects;
}
