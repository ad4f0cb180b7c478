/** Loads under which a service is at its worst, for replays of the gateways' decisions. */

import type * as engineModel from './engine-model.js';

/** One kind of request. */
export type RequestKind = {
  name: string;
  /** Mean; all are equal unless `promptSizes` is set. */
  promptTokens: number;
  answerTokens: number;
  targetMs: number;
  urgency: number;
  /** Share of all requests. */
  share: number;
  /** Log-normal spread of the prompts; absent if all are equal. */
  promptSizes?: PromptSizes;
};

/** A log-normal spread: standard deviation of the logarithm, and largest prompt. */
export type PromptSizes = { sigma: number; maxTokens: number };

/** Something that happens to the fleet at a time. */
export type FleetEvent =
  | { kind: 'enginesGone'; atMs: number; share: number; forMs: number }
  | { kind: 'enginesFail'; atMs: number; share: number; forMs: number }
  | { kind: 'enginesSlow'; atMs: number; share: number; factor: number }
  | { kind: 'gatewaysRestart'; atMs: number }
  /** The gateway that schedules the longest queue is killed and returns later. */
  | { kind: 'schedulerLost'; atMs: number; forMs: number };

/** How the load is divided among workspaces. */
export type WorkspaceLoad = {
  /** Number of hot workspaces, the first ones, and their load in multiples of the usual one. */
  hot: number;
  hotFactor: number;
  /** Declared rate of each workspace; the first ones repeat. Empty if none is declared. */
  quotas: readonly number[];
  /** One prompt in ten is nine times as long as the others; the mean stays. */
  isSkewed: boolean;
};

/** How callers return that were refused. */
export type ReturnRule = {
  /** Time that a caller gives its request, by kind, milliseconds. */
  deadlineByKind: Record<string, number>;
  /** Share of the refused callers that return at once, whatever they are told. */
  atOnceShare: number;
};

export type LoadPattern = {
  name: string;
  durationMs: number;
  /** Requests a second for each engine, at a time. */
  computeRate: (atMs: number) => number;
  /** Share of the requests that the first two of the workspaces send. */
  hotShare: number;
  /** How unevenly calls are spread over gateways; 1 is evenly. */
  skew: number;
  /** From when on the worst is over, milliseconds. */
  calmFromMs: number;
  events: FleetEvent[];
  workspaces?: WorkspaceLoad;
  /** Factor on the usual rate of a kind, at a time. */
  computeKindFactor?: (kind: RequestKind, atMs: number) => number;
  /** `KINDS` if absent. */
  kinds?: readonly RequestKind[];
  /** Slowness of each engine in turn; absent for the usual ones. */
  slowness?: readonly number[];
  /** Absent for engines that read prompts without delay for the other requests. */
  prompts?: engineModel.PromptTraits;
  /** Calls that are first sent after this time are load only and are not counted, milliseconds. */
  countedUntilMs?: number;
  /** Where it is left out, callers have one deadline and return at `Retry-After`. */
  returns?: ReturnRule;
};

/** The mix of the users' sheets: long, middle and short prompts. */
export const KINDS: readonly RequestKind[] = [
  {
    name: 'long',
    promptTokens: 3500,
    answerTokens: 270,
    targetMs: 1019,
    urgency: 0,
    share: 0.31,
  },
  {
    name: 'middle',
    promptTokens: 470,
    answerTokens: 200,
    targetMs: 408,
    urgency: 1,
    share: 0.29,
  },
  {
    name: 'short',
    promptTokens: 1100,
    answerTokens: 24,
    targetMs: 510,
    urgency: 2,
    share: 0.4,
  },
];

/** Lists the kinds of requests of a pattern. */
export function listKinds({ kinds }: LoadPattern): readonly RequestKind[] {
  return kinds ?? KINDS;
}

/** Draws the prompt of a request, tokens. */
export function drawPromptTokens(
  { promptTokens, promptSizes }: RequestKind,
  draw: () => number,
): number {
  if (promptSizes === undefined) {
    return promptTokens;
  }
  const { sigma, maxTokens } = promptSizes;
  const normal = Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
  const tokens = promptTokens * Math.exp(sigma * normal - sigma ** 2 / 2);
  return Math.min(Math.max(Math.round(tokens), 1), maxTokens);
}

/** Requests a second for each engine: what it serves without a wait, and a burst. */
const CALM = 5;
const BURST = 16;
const DURATION_MS = 12_000;
export const BURST_FROM_MS = 2000;
export const BURST_UNTIL_MS = 8000;
const SHORT_BURST_UNTIL_MS = 4000;

/** Gives the rate of a calm load with a burst in it. */
function computeBurst(atMs: number): number {
  return atMs >= BURST_FROM_MS && atMs < BURST_UNTIL_MS ? BURST : CALM;
}

/** Builds a pattern from what differs from a calm load. */
export function buildPattern(name: string, changes: Partial<LoadPattern>): LoadPattern {
  const calm = {
    durationMs: DURATION_MS,
    computeRate: () => CALM,
    hotShare: 0,
    skew: 1,
    calmFromMs: DURATION_MS,
    events: [],
  };
  return { name, ...calm, ...changes };
}

export const PATTERNS: readonly LoadPattern[] = [
  buildPattern('burst, a third of the engines gone', {
    computeRate: computeBurst,
    events: [{ kind: 'enginesGone', atMs: 3000, share: 0.34, forMs: 4000 }],
  }),
  buildPattern('two hot workspaces', { computeRate: computeBurst, hotShare: 0.8 }),
  buildPattern('all gateways restarted', {
    computeRate: () => 2 * CALM,
    events: [{ kind: 'gatewaysRestart', atMs: 4000 }],
  }),
  buildPattern('a quarter of the engines fails', {
    computeRate: () => 1.5 * CALM,
    events: [{ kind: 'enginesFail', atMs: 2000, share: 0.25, forMs: 8000 }],
  }),
  buildPattern('calm after a short burst, calls spread unevenly', {
    computeRate: (atMs) => (atMs >= BURST_FROM_MS && atMs < SHORT_BURST_UNTIL_MS ? BURST : CALM),
    skew: 1.5,
    calmFromMs: 6000,
  }),
];
