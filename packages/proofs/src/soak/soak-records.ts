/** What the callers and the backend servers of a soak have seen. */

export enum CallKind {
  SAFE = 'safe',
  UNSAFE = 'unsafe',
  STREAM = 'stream',
  RESUMABLE = 'resumable',
}

/** One try of a caller. */
export type CallRecord = {
  id: string;
  kind: CallKind;
  path: string;
  body: string;
  credential: string;
  workspace: string;
  gateway: number;
  sentMs: number;
  deadlineMs: number;
  /** When the caller left by itself, milliseconds; 0 where it stayed. */
  leftMs: number;
  /** When its answer or its connection ended, milliseconds; 0 while it has not. */
  endedMs: number;
  /** Undefined where the connection ended without an answer. */
  answer: CallAnswer | undefined;
};

export type CallAnswer = {
  status: number;
  body: string;
  isSigned: boolean;
  /** Ended as HTTP says that a whole answer ends. */
  isWhole: boolean;
};

/** One request that a backend server began to work on. */
export type RunRecord = {
  id: string;
  server: string;
  /** Where that backend server is. */
  failureDomain: string;
  method: string;
  path: string;
  body: string;
  workspace: string;
  hasCredential: boolean;
  /** Id of the event after which a stream goes on; 0 for its start. */
  resumeAfter: number;
  atMs: number;
};

/** A key that was taken away, and when the store had said so. */
export type RevocationRecord = { credential: string; atMs: number };

/** A failure domain that was evacuated, from and until when the store had said so. */
export type EvacuationRecord = { failureDomain: string; fromMs: number; untilMs: number };

/** A rate limit that a backend server named, and the requests that it got meanwhile. */
export type LimitRecord = {
  server: string;
  perSecond: number;
  /** Requests that reached it, and those whose answers named the limit, by their ids. */
  arrivals: { id: string; atMs: number }[];
  told: { id: string; atMs: number }[];
};

export enum StatementKind {
  LEAVING = 'leaving',
  BACKOFF = 'backoff',
}

/** What a backend server stated about itself for a time, and the requests that it got meanwhile. */
export type StatementRecord = {
  kind: StatementKind;
  server: string;
  /** Time for which it asked to get nothing, milliseconds; unused where it leaves. */
  backoffMs: number;
  /** Requests that reached it, and those whose answers stated it, by their ids. */
  arrivals: { id: string; atMs: number }[];
  told: { id: string; atMs: number }[];
};

/** A process that ended though nothing had been done to it. */
export type UnexpectedEnd = { gateway: number; atMs: number; code: number | null };

export type SoakRecords = {
  calls: CallRecord[];
  runs: RunRecord[];
  /** Times at which a request reached a backend server, run or not, by its id. */
  arrivals: Map<string, number[]>;
  revocations: RevocationRecord[];
  evacuations: EvacuationRecord[];
  limits: LimitRecord[];
  statements: StatementRecord[];
  /** Times from the return of the store to the last write that it had lost, milliseconds. */
  storeGaps: { fromMs: number; untilMs: number }[];
  unexpectedEnds: UnexpectedEnd[];
  /** Times in which something was done to a gateway or its links, milliseconds. */
  disturbances: { gateway: number; fromMs: number; untilMs: number }[];
  /** Times in which a gateway, or all where it is undefined, may not reach the store. */
  storeFaults: { gateway: number | undefined; fromMs: number; untilMs: number }[];
};

/** Creates empty records. */
export function createRecords(): SoakRecords {
  return {
    calls: [],
    runs: [],
    arrivals: new Map(),
    revocations: [],
    evacuations: [],
    limits: [],
    statements: [],
    storeGaps: [],
    unexpectedEnds: [],
    disturbances: [],
    storeFaults: [],
  };
}

/** Events of one stream. */
export const STREAM_EVENTS = 6;

/** Builds one event of a stream; all runs of a request make the same ones. */
export function buildEvent(id: string, number: number): string {
  return `id: ${number}\ndata: ${id} ${number}\n\n`;
}

/** Builds the whole body that a caller must get. */
export function buildExpectedBody(call: Pick<CallRecord, 'id' | 'kind' | 'workspace'>): string {
  if (call.kind === CallKind.STREAM || call.kind === CallKind.RESUMABLE) {
    const numbers = Array.from({ length: STREAM_EVENTS }, (_, index) => index + 1);
    return numbers.map((number) => buildEvent(call.id, number)).join('');
  }
  return `${call.id} for ${call.workspace}`;
}
