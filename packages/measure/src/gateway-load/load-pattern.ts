/** Loads under which a service is at its worst, for replays of the gateways' decisions. */

/** One kind of request. */
export type RequestKind = {
  name: string;
  promptTokens: number;
  answerTokens: number;
  targetMs: number;
  urgency: number;
  /** Share of all requests. */
  share: number;
};

/** Something that happens to the fleet at a time. */
export type FleetEvent =
  | { kind: 'enginesGone'; atMs: number; share: number; forMs: number }
  | { kind: 'enginesFail'; atMs: number; share: number; forMs: number }
  | { kind: 'gatewaysRestart'; atMs: number };

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
  /** Factor of the usual rate of a kind at a time; 1 where it is left out. */
  computeKindFactor?: (kind: RequestKind, atMs: number) => number;
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

/** Lists the shares of the kinds at a time; they add up to more than 1 in a burst of one kind. */
export function listShares(pattern: LoadPattern, atMs: number): number[] {
  return KINDS.map((kind) => kind.share * (pattern.computeKindFactor?.(kind, atMs) ?? 1));
}

/** Requests a second for each engine: what it serves without a wait, and a burst. */
const CALM = 5;
const BURST = 16;
const DURATION_MS = 12_000;
const BURST_FROM_MS = 2000;
const BURST_UNTIL_MS = 8000;
const SHORT_BURST_UNTIL_MS = 4000;

/** Gives the rate of a calm load with a burst in it. */
function computeBurst(atMs: number): number {
  return atMs >= BURST_FROM_MS && atMs < BURST_UNTIL_MS ? BURST : CALM;
}

/** Builds a pattern from what differs from a calm load. */
function buildPattern(name: string, changes: Partial<LoadPattern>): LoadPattern {
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
