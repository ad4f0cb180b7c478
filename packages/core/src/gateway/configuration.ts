/** The declared configuration of a gateway, as the product sees it. */

/** What may be repeated, and in which form the answer comes. */
export enum RouteKind {
  /** Idempotent; may run more than once. */
  SAFE = 'safe',
  /** Runs at most once. */
  UNSAFE = 'unsafe',
  /** Answered by a stream of events; idempotent only where it is resumable. */
  STREAM = 'stream',
}

/** A service that a route sends to, and its share of the traffic. */
export type RouteTarget = { service: string; weight: number };

export type Route = {
  name: string;
  hostname: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Longest time a request may be kept, milliseconds. */
  timeoutMs: number;
  /** Time within which an answer is on time, milliseconds. */
  targetMs: number;
  /** Time that callers wait for a first part of an answer, milliseconds. */
  patienceMs: number;
  /** 0 is the most urgent. */
  urgency: number;
  targets: RouteTarget[];
  /** Runs of one request, at most. */
  maxAttempts: number;
  /** Served without a credential. */
  isPublic: boolean;
  /** A broken stream may go on at another backend server. */
  resumable: boolean;
  /** Regions in which its requests may be served; empty for any. */
  regions: string[];
};

/** What a service says of its engines; undefined for a plain service. */
export type EngineTraits = {
  /** Requests that an engine works on at once. */
  slots: number;
  /** Tokens that one event of a stream holds. */
  tokensPerEvent: number;
};

/** What backend servers of a service bear while they warm up. */
export type WarmUpTraits = {
  /** Time from the start on, milliseconds. */
  durationMs: number;
  /** Requests a second, from all gateways together. */
  perSecond: number;
};

export type ServiceDeclaration = {
  name: string;
  /** Connections that one backend server accepts from all callers together. */
  maxConnections: number;
  engine: EngineTraits | undefined;
  /** Undefined where its backend servers bear their full load from the start on. */
  warmUp: WarmUpTraits | undefined;
};

/** What a quota counts. */
export enum QuotaUnit {
  REQUESTS = 'requests',
  TOKENS = 'tokens',
}

/** Limit of a workspace over all gateways together. */
export type Quota = {
  unit: QuotaUnit;
  perSecond: number;
  burst: number;
  /** Tokens of a request that does not say how many it needs. */
  defaultTokens: number;
};

export type WorkspaceDeclaration = {
  name: string;
  credentials: string[];
  /** Goes before the urgency of the route; undefined where it is not set. */
  urgency: number | undefined;
  /** Undefined where the workspace has no limit. */
  quota: Quota | undefined;
  /** Regions in which its requests may be served; empty for any. */
  regions: string[];
};

/** What a caller may send, and how long it may take. */
export type CallerBounds = {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  /** Kept connections may be idle this long, milliseconds. */
  idleTimeoutMs: number;
};

export type Configuration = {
  version: number;
  routes: Route[];
  services: ServiceDeclaration[];
  /** Undefined where callers need no credentials. */
  workspaces: WorkspaceDeclaration[] | undefined;
  callerBounds: CallerBounds;
};
