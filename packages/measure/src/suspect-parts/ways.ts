/** The ways of finding prompt parts that crash servers, with their settings. */
import type * as fleetReplay from './fleet-replay.js';
import * as gatewayPolicy from './gateway-policy.js';
import * as partEvidence from './part-evidence.js';

const MAX_LOSSES = 3;
const MAX_SILENT = 3;
const FIRST_TRIAL_MS = 1000;
const TRIAL_FACTOR = 10;
const TURN_MS = 2000;
const SETTLE_MS = 100;
/** From this likelihood ratio on a part is refused. */
const MAX_RATIO = 1000;
/** How probable it is that a run with the cause completes. */
const SOUND_PROBABILITY = 0.01;

/** Lists the losses after the last one that a completion has followed. */
function listUncleared(losses: readonly partEvidence.Loss[]): readonly partEvidence.Loss[] {
  return losses.slice(losses.map(({ isCleared }) => isCleared).lastIndexOf(true) + 1);
}

/** Counts losses in sequence: each run was sent after the loss before it. */
function countSequence(losses: readonly partEvidence.Loss[]): number {
  let lastMs = -Infinity;
  return losses.filter(({ sentMs, lostMs }) => {
    const isNext = sentMs >= lastMs;
    lastMs = isNext ? lostMs : lastMs;
    return isNext;
  }).length;
}

/** Creates a function that rates losses in sequence, or at servers that fell silent or were many. */
export function createSequenceRate(
  maxLosses = MAX_LOSSES,
  maxSilent = MAX_SILENT,
  maxServers = Infinity,
): partEvidence.RateLosses {
  return (all) => {
    const losses = listUncleared(all);
    const silent = losses.filter(({ isSilent }) => isSilent).length;
    const isMany = silent >= maxSilent || losses.length >= maxServers;
    return Math.max(countSequence(losses) / maxLosses, Number(isMany));
  };
}

/** Creates a function that rates losses and completions by how probable the cause makes them. */
export function createLikelihoodRate(maxRatio = MAX_RATIO): partEvidence.RateLosses {
  return (losses) =>
    losses.reduce((sum, { weight, isCleared }) => {
      const next = sum + weight;
      return isCleared ? Math.max(next + Math.log(SOUND_PROBABILITY), 0) : next;
    }, 0) / Math.log(maxRatio);
}

/** Computes the next trial, ten times later after each one that ends in a loss. */
function computeTrialMs(losses: readonly partEvidence.Loss[], score: number): number {
  const lastMs = losses[losses.length - 1].lostMs;
  const trials = Math.max(Math.round(score * MAX_LOSSES) - MAX_LOSSES, 0);
  return lastMs + FIRST_TRIAL_MS * TRIAL_FACTOR ** trials;
}

/** Computes the next trial: ten times as long after the last loss as that was after the first. */
export function computeSpanTrialMs(losses: readonly partEvidence.Loss[]): number {
  const uncleared = listUncleared(losses);
  const lastMs = losses[losses.length - 1].lostMs;
  const spanMs = lastMs - (uncleared[0] ?? losses[0]).lostMs;
  return lastMs + Math.max(spanMs * TRIAL_FACTOR, FIRST_TRIAL_MS);
}

/** Creates the policies of a way. */
function createWay(
  options: Partial<partEvidence.EvidenceOptions>,
): (gateways: number) => fleetReplay.CreatePolicy {
  const defaults = {
    rateLosses: createSequenceRate(),
    settleMs: 0,
    isExplained: true,
    isUnprovenFirst: true,
    isSoundKept: false,
    computeTrialMs,
    turnMs: TURN_MS,
  };
  return (gateways) => (gateway) =>
    partEvidence.createEvidencePolicy({ ...defaults, ...options, gateways }, gateway);
}

/** Admits everything. */
export const OPEN: fleetReplay.CreatePolicy = () => ({
  noteLost: () => {},
  noteSound: () => {},
  admit: () => 'run',
  collect: () => [],
  collectAll: () => [],
  receive: () => {},
  countParts: () => 0,
});

export const WAYS: Record<string, (gateways: number) => fleetReplay.CreatePolicy> = {
  'no suspicion': () => OPEN,
  gateways: gatewayPolicy.createGatewayPolicy,
  'three losses in sequence': createWay({}),
  'two losses in sequence': createWay({ rateLosses: createSequenceRate(2) }),
  'four losses in sequence': createWay({ rateLosses: createSequenceRate(4) }),
  'three, not explained': createWay({ isExplained: false }),
  'three, most losses first': createWay({ isUnprovenFirst: false }),
  'three, or six servers': createWay({
    rateLosses: createSequenceRate(3, 3, 6),
    settleMs: SETTLE_MS,
  }),
  'three, trials by span': createWay({ computeTrialMs: computeSpanTrialMs }),
  'two, span': createWay({
    rateLosses: createSequenceRate(2, 2),
    computeTrialMs: computeSpanTrialMs,
  }),
  'two, silent three, span': createWay({
    rateLosses: createSequenceRate(2, 3),
    computeTrialMs: computeSpanTrialMs,
  }),
  'two, span, sound kept': createWay({
    rateLosses: createSequenceRate(2, 3),
    isSoundKept: true,
    computeTrialMs: computeSpanTrialMs,
  }),
  'two or four servers, span, sound kept': createWay({
    rateLosses: createSequenceRate(2, 3, 4),
    settleMs: SETTLE_MS,
    isSoundKept: true,
    computeTrialMs: computeSpanTrialMs,
  }),
  'three or four servers, span, sound kept': createWay({
    rateLosses: createSequenceRate(3, 3, 4),
    settleMs: SETTLE_MS,
    isSoundKept: true,
    computeTrialMs: computeSpanTrialMs,
  }),
  'two, count trials, sound kept': createWay({
    rateLosses: createSequenceRate(2, 3),
    isSoundKept: true,
  }),
  'three, span, sound kept': createWay({
    isSoundKept: true,
    computeTrialMs: computeSpanTrialMs,
  }),
  likelihood: createWay({
    rateLosses: createLikelihoodRate(),
    settleMs: SETTLE_MS,
    computeTrialMs: computeSpanTrialMs,
  }),
};
