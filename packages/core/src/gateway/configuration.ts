/** The configuration of a gateway, independent of the format in which the store holds it. */

/** Whether requests may run more than once, and in which form the response comes. */
export enum RouteKind {
  /** Idempotent: may run more than once. */
  SAFE = 'safe',
  /** Runs at most once. */
  UNSAFE = 'unsafe',
  /** Responds with a stream of events; idempotent only if the route is resumable. */
  STREAM = 'stream',
}

/** A service that a route sends requests to, and its relative share of the traffic. */
export type RouteTarget = { service: string; weight: number };

export type Route = {
  name: string;
  hostname: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Maximum time that a request is kept, in milliseconds. */
  timeoutMs: number;
  /** Latency target: a first byte within this time is on time, in milliseconds. */
  targetMs: number;
  /** How long callers wait for the first part of a response, in milliseconds. */
  patienceMs: number;
  /** Longest pause between events of a stream that is on time, ms; undefined if not declared. */
  maxPauseMs: number | undefined;
  /** Priority; 0 is the most urgent. */
  urgency: number;
  targets: RouteTarget[];
  /** Maximum number of times that one request is run. */
  maxAttempts: number;
  /** Requests need no credential. */
  isPublic: boolean;
  /** An interrupted stream may be continued by another backend server. */
  resumable: boolean;
  /** Regions in which its requests may be served; empty for any. */
  regions: string[];
};

/** Properties of a service's inference engines. */
export type EngineTraits = {
  /** Maximum number of requests that an engine processes concurrently. */
  slots: number;
  /** Number of tokens in one stream event. */
  tokensPerEvent: number;
};

/** How long the backend servers of a service warm up, and what they can take meanwhile. */
export type WarmUpTraits = {
  /** Duration of the warm-up after a start, in milliseconds. */
  durationMs: number;
  /** Requests per second that one backend server can take, from all gateways together. */
  perSecond: number;
};

export type ServiceDeclaration = {
  name: string;
  /** Maximum connections that one backend server accepts from all callers together. */
  maxConnections: number;
  /** Undefined for a plain service, which has no engines. */
  engine: EngineTraits | undefined;
  /** Undefined if its backend servers can take full load right after a start. */
  warmUp: WarmUpTraits | undefined;
};

/** The unit that a quota counts. */
export enum QuotaUnit {
  REQUESTS = 'requests',
  TOKENS = 'tokens',
}

/** Rate limit of a workspace, over all gateways together. */
export type Quota = {
  unit: QuotaUnit;
  perSecond: number;
  burst: number;
  /** Tokens charged for a request that does not state how many it needs. */
  defaultTokens: number;
};

export type WorkspaceDeclaration = {
  name: string;
  credentials: string[];
  /** Takes precedence over the urgency of the route; undefined counts as 0. */
  urgency: number | undefined;
  /** Undefined if the workspace has no quota. */
  quota: Quota | undefined;
  /** Regions in which its requests may be served; empty for any. */
  regions: string[];
};

/** Limits on what a caller may send and how long it may take. */
export type CallerBounds = {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  /** Maximum idle time of a kept-alive connection, in milliseconds. */
  idleTimeoutMs: number;
};

export type Configuration = {
  version: number;
  routes: Route[];
  services: ServiceDeclaration[];
  /** Undefined if callers need no credentials. */
  workspaces: WorkspaceDeclaration[] | undefined;
  callerBounds: CallerBounds;
};
