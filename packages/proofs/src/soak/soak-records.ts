/** Records of what the callers and the backend servers of the soak test observed. */

export enum CallKind {
  SAFE = 'safe',
  UNSAFE = 'unsafe',
  STREAM = 'stream',
  RESUMABLE = 'resumable',
}

/** One call by a caller. */
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
  /** When the caller disconnected early, milliseconds; 0 if it did not. */
  disconnectedMs: number;
  /** The call was to use a connection that was open already. */
  isReused: boolean;
  /** The connection was refused, or reset before a response began. */
  isReset: boolean;
  /** When the response or the connection ended, milliseconds; 0 until then. */
  endedMs: number;
  /** Undefined if the connection ended without a response. */
  response: CallResponse | undefined;
  /** The call that brought the first events of its stream; undefined if it asks for all. */
  resumes?: { id: string; after: number };
  /** Parts of the prompt, as the caller sends them; undefined if it sends none. */
  parts?: string;
  /** Its connection, if the caller connects to the gateway without a link between. */
  connection?: ConnectionRecord;
};

/** The connection of a call, as its caller sees it. */
export type ConnectionRecord = {
  /** The call is the first one on its connection. */
  isNew: boolean;
  /** When the connection was established and the whole request sent on it, ms; 0 if it was not. */
  sentMs: number;
  /** Bytes received on the connection from then on. */
  responseBytes: number;
};

export type CallResponse = {
  status: number;
  body: string;
  isSigned: boolean;
  /** The response ended as HTTP framing requires of a complete one. */
  isComplete: boolean;
};

/** One request that a backend server started to process. */
export type RunRecord = {
  id: string;
  server: string;
  /** Failure domain of that backend server. */
  failureDomain: string;
  /** Software version of that backend server. */
  version: string;
  method: string;
  path: string;
  body: string;
  workspace: string;
  hasCredential: boolean;
  /** Id of the event after which a stream resumes; 0 for its beginning. */
  resumeAfter: number;
  /** Parts of the prompt, as the caller sent them. */
  parts: string;
  atMs: number;
  /** When the response was sent or its connection ended, milliseconds; 0 until then. */
  endedMs: number;
  /** The backend server ended its response early. */
  isBrokenOff: boolean;
  /** The backend server sent the whole response of a successful run. */
  isWhole: boolean;
  /**
   * A second response on its connection came before its own had ended, or follows its own, which
   * nothing but the connection ends.
   */
  isMixedUp: boolean;
};

/** A revoked key, and when the store had the revocation. */
export type RevocationRecord = { credential: string; atMs: number };

/** An evacuated failure domain, and the period for which the store listed it as evacuated. */
export type EvacuationRecord = { failureDomain: string; fromMs: number; untilMs: number };

/** A rate limit that a backend server announced, and the requests that it got meanwhile. */
export type LimitRecord = {
  server: string;
  perSecond: number;
  /** Ids of requests that reached it, and of those whose responses announced the limit. */
  arrivals: { id: string; atMs: number }[];
  announced: { id: string; atMs: number }[];
};

export enum StatementKind {
  LEAVING = 'leaving',
  BACKOFF = 'backoff',
}

/** What a backend server stated about itself for a time, and the requests that it got meanwhile. */
export type StatementRecord = {
  kind: StatementKind;
  server: string;
  /** Backoff that it asked for, milliseconds; unused if it is leaving. */
  backoffMs: number;
  /** Ids of requests that reached it, and of those whose responses carried the statement. */
  arrivals: { id: string; atMs: number }[];
  announced: { id: string; atMs: number }[];
};

/** A planned stop of a gateway: from its first SIGTERM until its process has ended, milliseconds. */
export type StopRecord = {
  gateway: number;
  fromMs: number;
  untilMs: number;
  /** When its port was first seen to refuse connections, milliseconds. */
  closedMs: number;
  graceMs: number;
};

/** The exit of a gateway process that nothing had stopped. */
export type UnexpectedExit = { gateway: number; atMs: number; code: number | null };

/** Path and workspace of the request that ends each backend server that runs it. */
export const CRASHING_PATH = '/safe/crash';
export const CRASHING_WORKSPACE = 'workspace-a';

/** Id of the part of the prompt that ends each backend server that runs a request with it. */
export const CRASHING_PART = 'e4402b7d';

/** Whether a request has the part that ends backend servers. */
export function hasCrashingPart({ parts = '' }: { parts?: string }): boolean {
  return parts.split(',').some((part) => part.startsWith(`${CRASHING_PART}:`));
}

/** Whether a run ends its backend server. */
export function isCrashing({ path, workspace }: RunRecord): boolean {
  return path === CRASHING_PATH && workspace === CRASHING_WORKSPACE;
}

export type SoakRecords = {
  calls: CallRecord[];
  runs: RunRecord[];
  /** Times at which a request reached a backend server, run or not, by request id. */
  arrivals: Map<string, number[]>;
  revocations: RevocationRecord[];
  evacuations: EvacuationRecord[];
  limits: LimitRecord[];
  statements: StatementRecord[];
  /** Periods from a restore of the store until its lost changes were rewritten, milliseconds. */
  storeGaps: { fromMs: number; untilMs: number }[];
  unexpectedExits: UnexpectedExit[];
  /** Backend servers that ended because of the request that they ran. */
  crashes: { server: string; atMs: number }[];
  /** The same because of a part of its prompt. */
  partCrashes: { server: string; atMs: number }[];
  stops: StopRecord[];
  /** Periods in which a fault, or a stop that is planned, affected a gateway or its links, ms. */
  disturbances: { gateway: number; fromMs: number; untilMs: number; isPlanned?: boolean }[];
  /** Periods in which a fault affected a backend server or its link, milliseconds. */
  serverFaults: { server: string; fromMs: number; untilMs: number }[];
  /** Periods in which the event loop of the soak test itself stood still, milliseconds. */
  stalls: { fromMs: number; untilMs: number }[];
  /** Periods in which a gateway, or all if undefined, may not reach the store. */
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
    unexpectedExits: [],
    crashes: [],
    partCrashes: [],
    stops: [],
    disturbances: [],
    serverFaults: [],
    stalls: [],
    storeFaults: [],
  };
}

/** Number of events in one stream. */
export const STREAM_EVENTS = 6;

/** Part of the id of a request whose events have CRLF as line ends. */
export const CRLF_MARK = '-crlf';

const VERSION_LINE = /^: (v\d+)\r?\n/gm;
/** The first part of a version line at the end of a truncated body. */
const VERSION_START = /\n:( v?\d*\r?)?$/;

/** Builds one event of a stream; every run of a request produces the same ones but for the version. */
export function buildEvent(id: string, number: number, version?: string): string {
  const comment = version === undefined ? '' : `: ${version}\n`;
  const event = `id: ${number}\n${comment}data: ${id} ${number}\n\n`;
  return id.includes(CRLF_MARK) ? event.replaceAll('\n', '\r\n') : event;
}

/** Removes the versions from the events of a body. */
export function dropVersions(body: string): string {
  return body.replace(VERSION_LINE, '').replace(VERSION_START, '\n');
}

/** Lists the versions that the events of a body name. */
export function listVersions(body: string): string[] {
  return [...body.matchAll(VERSION_LINE)].map(([, version]) => version);
}

/** Finds the number of the last complete event of a body; 0 if there is none. */
export function findLastEvent(body: string): number {
  const lines = body.replaceAll('\r\n', '\n');
  const complete = lines.slice(0, lines.lastIndexOf('\n\n') + 1);
  return Number([...complete.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? 0);
}

/** Builds the complete body that a caller must receive. */
export function buildExpectedBody(
  call: Pick<CallRecord, 'id' | 'kind' | 'workspace' | 'resumes'>,
): string {
  if (call.kind === CallKind.STREAM || call.kind === CallKind.RESUMABLE) {
    const after = call.resumes?.after ?? 0;
    const numbers = Array.from({ length: STREAM_EVENTS }, (_, index) => index + 1);
    return numbers
      .slice(after)
      .map((number) => buildEvent(call.id, number))
      .join('');
  }
  return `${call.id} for ${call.workspace}`;
}
