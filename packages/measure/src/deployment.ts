/** The two deployments of the brief, as measurements run them. */
import * as proofs from '@toucanproxy/proofs';

/** One class of requests. Sizes in tokens, drawn evenly between their bounds. */
export type RequestClass = {
  name: string;
  /** Share of all requests. */
  share: number;
  token: string;
  tier: 'stall' | 'draft';
  promptTokens: [number, number];
  answerTokens: [number, number];
  timeoutMs: number;
};

export type Deployment = {
  name: string;
  entries: number;
  agents: number;
  /** One-way delay between failure domains, milliseconds. */
  latencyMs: number;
  speeds: proofs.EngineSpeed[];
  classes: RequestClass[];
};

const FAST = { ...proofs.DEFAULT_ENGINE_SPEED, stepMs: 6, prefillTokensPerStep: 512 };
const MIDDLE = { ...FAST, stepMs: 10 };
const SLOW = { ...FAST, stepMs: 18, prefillTokensPerStep: 256 };

/** Short stall answers beside long drafts. */
const COOPERATIVE: Deployment = {
  name: 'brimwit',
  entries: 3,
  agents: 13,
  latencyMs: 1.5,
  speeds: [FAST, MIDDLE, SLOW],
  classes: [
    {
      name: 'stall answer',
      share: 0.6,
      token: 'brim-stall',
      tier: 'stall',
      promptTokens: [40, 200],
      answerTokens: [8, 24],
      timeoutMs: 2000,
    },
    {
      name: 'pattern draft',
      share: 0.4,
      token: 'band-draft',
      tier: 'draft',
      promptTokens: [500, 3000],
      answerTokens: [60, 200],
      timeoutMs: 15_000,
    },
  ],
};

/** Short dispatch answers beside long case files. */
const QUEBRADA: Deployment = {
  name: 'modelo-triaje',
  entries: 3,
  agents: 6,
  latencyMs: 0.5,
  speeds: [FAST, MIDDLE, SLOW],
  classes: [
    {
      name: 'dispatch desk',
      share: 0.6,
      token: 'brim-stall',
      tier: 'stall',
      promptTokens: [60, 400],
      answerTokens: [8, 30],
      timeoutMs: 2000,
    },
    {
      name: 'case file',
      share: 0.4,
      token: 'band-draft',
      tier: 'draft',
      promptTokens: [2000, 8000],
      answerTokens: [40, 120],
      timeoutMs: 15_000,
    },
  ],
};

export const DEPLOYMENTS: readonly Deployment[] = [COOPERATIVE, QUEBRADA];

/** Computes the middle of two bounds. */
function computeMiddle([low, high]: [number, number]): number {
  return (low + high) / 2;
}

/** Computes the mean of a size over all classes, tokens. */
function computeMean(
  classes: readonly RequestClass[],
  read: (one: RequestClass) => [number, number],
): number {
  return classes.reduce((sum, one) => sum + one.share * computeMiddle(read(one)), 0);
}

/**
 * Estimates what the engines of a deployment can do, requests a second: the
 * lesser of what their batches can decode and what they can prefill.
 */
export function estimateCapacity(deployment: Deployment): number {
  const { classes, agents, speeds } = deployment;
  const prompt = computeMean(classes, (one) => one.promptTokens);
  const answer = computeMean(classes, (one) => one.answerTokens);
  const perAgent = Array.from({ length: agents }, (_, index) => {
    const speed = speeds[index % speeds.length];
    const stepsPerSecond = 1000 / speed.stepMs;
    const prefillSteps = prompt / speed.prefillTokensPerStep;
    const decodeRate = (speed.maxBatch * stepsPerSecond) / (answer + prefillSteps);
    const prefillRate = (speed.prefillTokensPerStep * stepsPerSecond) / prompt;
    return Math.min(decodeRate, prefillRate);
  });
  return perAgent.reduce((sum, rate) => sum + rate, 0);
}
