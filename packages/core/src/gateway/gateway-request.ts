/** A request while a gateway has it in hand. */
import type * as configuration from './configuration.js';
import type * as regionBinding from './region-binding.js';

/** What a caller sent, as far as decisions need it. */
export type ArrivedRequest = {
  /** The caller's name for this try; unique. */
  attemptId: string;
  host: string;
  /** Without the query. */
  path: string;
  credential: string | undefined;
  /** Time that the caller will wait, milliseconds; undefined where it does not say. */
  deadlineMs: number | undefined;
  /** Prompt tokens and the most tokens of the answer; undefined for a plain request. */
  tokens: { prompt: number; answer: number } | undefined;
  /** The caller's guess at the tokens of the answer. */
  answerGuess: number | undefined;
  /** Computes a digest of what it asks for; the same for each try of its caller. */
  hashContent: () => string;
};

export enum RequestPhase {
  WAITING = 'waiting',
  /** At a backend server. */
  SENT = 'sent',
}

export type GatewayRequest = {
  serial: number;
  arrived: ArrivedRequest;
  route: configuration.Route;
  service: string;
  workspace: string;
  /** Where it may be served. */
  regions: regionBinding.RegionBinding;
  /** Names the tier of its place in the queue; 0 is the most urgent. */
  urgency: number;
  /** May run more than once. */
  repeatable: boolean;
  /** Estimated work, tokens. */
  workTokens: number;
  /** What it was charged against the quota of its workspace. */
  quotaCost: number;
  /** Beyond the declared quota of its workspace; only the tolerance lets it in. */
  isBeyondQuota: boolean;
  /** Version of the configuration that it was last checked against. */
  version: number;
  arrivedMs: number;
  /** Its caller has been trying for longer than its target, as far as its deadline tells. */
  isBelated: boolean;
  /** After this time its first byte comes late. */
  targetMs: number;
  /** Its caller leaves where no part of an answer has come by this time. */
  leaveMs: number;
  /** It gets its final answer by this time. */
  giveUpMs: number;
  phase: RequestPhase;
  /** The cell that it asked for a place last, and those that declined it. */
  cell: string | undefined;
  declinedCells: Set<string>;
  /** The backend server that has it. */
  serverId: string | undefined;
  /** Start of that backend server's life, milliseconds since the Unix epoch. */
  serverBornMs: number;
  sentMs: number;
  /** The same by the time of day, milliseconds since the Unix epoch. */
  sentWallMs: number;
  /** That backend server had a rate limit when the place was granted. */
  isRateLimited: boolean;
  /** Time to its first event if that backend server were idle, milliseconds. */
  idleFirstMs: number;
  /** Backend servers that did not take it, or failed it. */
  triedIds: Set<string>;
  /** Times it was sent, and times it was run or may have been. */
  sends: number;
  runs: number;
};
