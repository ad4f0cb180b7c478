/** The state of a request from its admission to its end. */
import type * as configuration from './configuration.js';
import type * as regionBinding from './region-binding.js';

/** States that a caller has a part of a stream and asks for the events that follow. */
export type StreamResumption = {
  /** The caller's attempt that brought the first event; undefined if it names none. */
  firstAttemptId: string | undefined;
  /** Id of the last event that the caller has received; undefined if it names none. */
  lastEventId: string | undefined;
};

/** The parts of a caller's request that admission and scheduling depend on. */
export type ArrivedRequest = {
  /** Unique identifier that the caller gave to this attempt. */
  attemptId: string;
  host: string;
  /** Path without the query string. */
  path: string;
  credential: string | undefined;
  /** How long the caller will wait, milliseconds; undefined if not specified. */
  deadlineMs: number | undefined;
  /** Prompt tokens and maximum response tokens; undefined for a request to a plain service. */
  tokens: { prompt: number; answer: number } | undefined;
  /** The caller's estimate of the number of response tokens. */
  answerGuess: number | undefined;
  /** Ids of the parts of the prompt, in order; absent if the request does not state them. */
  promptParts?: readonly string[];
  /** Undefined if the caller asks for the response from its start. */
  resumption?: StreamResumption;
  /** Computes a digest of the content, which is the same for all attempts of a workspace. */
  hashContent: (workspace: string) => string;
  /** How long it may have waited to be read, milliseconds; undefined if it was read at once. */
  unreadMs?: number;
};

export enum RequestPhase {
  WAITING = 'waiting',
  /** Assigned to a backend server. */
  SENT = 'sent',
}

export type GatewayRequest = {
  serial: number;
  arrived: ArrivedRequest;
  route: configuration.Route;
  service: string;
  workspace: string;
  /** Regions in which it may be served. */
  regions: regionBinding.RegionBinding;
  /** Tier in the queue; 0 is the most urgent. */
  urgency: number;
  /** It may run more than once. */
  repeatable: boolean;
  /** Estimated work, in response tokens. */
  workTokens: number;
  /** Amount charged to the quota of its workspace. */
  quotaCost: number;
  /** It exceeds the declared quota of its workspace and was admitted within the tolerance. */
  isBeyondQuota: boolean;
  /** Configuration version that it was last checked against. */
  version: number;
  /** When it was read, or earlier if it may have waited to be read. */
  arrivedMs: number;
  /** It has missed its target: its deadline suggests that it has been retried for longer. */
  isBelated: boolean;
  /** A first byte after this time is late. */
  targetMs: number;
  /** Its caller is expected to disconnect if no part of the response has arrived by this time. */
  leaveMs: number;
  /** Time by which it must have its final response. */
  giveUpMs: number;
  phase: RequestPhase;
  /** The cell that it last asked for a slot. */
  cell: string | undefined;
  /** Cells that declined it. */
  declinedCells: Set<string>;
  /** The backend server that it is assigned to. */
  serverId: string | undefined;
  /** When that backend server process started, milliseconds since the Unix epoch. */
  serverBornMs: number;
  /** Version of the software of that backend server; undefined if unknown. */
  serverVersion: string | undefined;
  /** It is not certain that the process which got it is the one that the entry describes. */
  isIncarnationUnknown: boolean;
  /**
   * Software version that produced the part of the stream that the caller has; only backend servers
   * of this version may continue it. Undefined if any may run the request.
   */
  streamVersion: string | undefined;
  sentMs: number;
  /** `sentMs` by the wall clock, milliseconds since the Unix epoch. */
  sentWallMs: number;
  /** Its backend server was rate-limited when the slot was granted. */
  isRateLimited: boolean;
  /** Predicted time to the first event on an idle backend server, milliseconds. */
  idleFirstMs: number;
  /** Predicted time in which its backend server reads the prompts ahead of it, milliseconds. */
  aheadMs: number;
  /** Predicted time to the first event, milliseconds; 0 if its scheduler does not predict it. */
  predictedFirstMs: number;
  /** The first event of the present attempt has arrived: its prompt has been read. */
  hasFirstEvent: boolean;
  /** When the first event of the present attempt arrived, milliseconds; Infinity before. */
  firstEventMs: number;
  /**
   * When a run last proved that the parts of its prompt crash no backend server, milliseconds;
   * -Infinity if none has.
   */
  soundMs: number;
  /** Backend servers that could not be used, refused the request or failed it. */
  triedIds: Set<string>;
  /** Its caller has a part of the response, and the rest must follow on the same connection. */
  hasBegun: boolean;
  /** Number of times that it was sent. */
  sends: number;
  /** Number of times that it ran or may have run. */
  runs: number;
  /** A send may have arrived at a backend server, so that any further one is a retry. */
  mayHaveArrived: boolean;
  /** Its content is refused, and it was admitted to find out whether it completes. */
  isTrial: boolean;
  /** A retry is reserved for it in the retry budget and has not been sent yet. */
  hasRetryReserved: boolean;
  /** The retry budget was exhausted when it would have been retried. */
  isBudgetSpent: boolean;
};
