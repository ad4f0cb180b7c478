/** Draws the requests of a load: the same seed gives the same requests everywhere. */
import * as proofs from '@toucanproxy/proofs';
import * as deployments from './deployment.js';

export type Arrival = {
  /** From the first arrival, milliseconds. */
  atMs: number;
  /** Index of the entry drawn by the balancer. */
  entry: number;
  one: deployments.RequestClass;
  path: string;
  payload: proofs.CallPayload;
};

/** Share of requests that may run only once. */
const ONCE_SHARE = 0.5;
const STREAM_SHARE = 0.7;
const MS_PER_SECOND = 1000;
/** Keeps the draws of arrivals apart from those of the fleet. */
const SEED_OFFSET = 7919;

/** Draws the class of the next request. */
function drawClass(
  drawRandom: () => number,
  classes: readonly deployments.RequestClass[],
): deployments.RequestClass {
  let left = drawRandom();
  const chosen = classes.find((one) => {
    left -= one.share;
    return left < 0;
  });
  return chosen ?? classes[0];
}

/** Draws a size between its bounds, tokens. */
function drawSize(drawRandom: () => number, [low, high]: [number, number]): number {
  return Math.round(proofs.drawBetween(drawRandom, low, high));
}

/** Lists arrivals at random times; `load` is a share of the estimated capacity. */
export function listArrivals(
  deployment: deployments.Deployment,
  load: number,
  durationMs: number,
  seed: number,
): Arrival[] {
  const drawRandom = proofs.createRandomSource(seed + SEED_OFFSET);
  const ratePerMs = (deployments.estimateCapacity(deployment) * load) / MS_PER_SECOND;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    atMs += -Math.log(1 - drawRandom()) / ratePerMs;
    const one = drawClass(drawRandom, deployment.classes);
    const path = drawRandom() < ONCE_SHARE ? '/v1/chat/completions' : '/v1/completions';
    const payload = {
      contentId: `w${arrivals.length + 1}`,
      promptTokens: drawSize(drawRandom, one.promptTokens),
      answerTokens: drawSize(drawRandom, one.answerTokens),
      stream: drawRandom() < STREAM_SHARE,
      crash: false,
    };
    const entry = Math.floor(drawRandom() * deployment.entries);
    arrivals.push({ atMs, entry, one, path, payload });
  }
  return arrivals;
}
