/**
 * Statements that backend servers make about themselves in their responses.
 *
 * They are kept by id and start time, apart from the store entries: a statement holds until the
 * backend server restarts, whether the store is available or not and whatever its store entry
 * contains.
 */

/** A rate limit as last stated in a response. */
export type StatedRateLimit = {
  /** Requests per second from all gateways together; undefined once the limit is lifted. */
  perSecond: number | undefined;
  /** When a response last stated it, in milliseconds. */
  statedMs: number;
};

export type ServerStatement = {
  /** Start of the incarnation that it was attributed to, in milliseconds since the Unix epoch. */
  bornMs: number;
  /** When the last request whose response stated something was sent, in the same unit. */
  sentWallMs: number;
  /** When a response first stated that the backend server is leaving, in milliseconds. */
  leavingSinceMs: number | undefined;
  /** The backend server accepts no requests from this gateway until this time, in milliseconds. */
  backoffUntilMs: number;
  /** Undefined if no response has stated or lifted a limit. */
  rateLimit: StatedRateLimit | undefined;
  /** When a response last stated something, in milliseconds. */
  statedMs: number;
};

/** By the id of the backend server. */
export type ServerStatements = Map<string, ServerStatement>;

/** One incarnation of a backend server: its process from a start until the next one. */
export type ServerLife = { id: string; bornMs: number };

/** The part of a request that decides whether its response lifts a rate limit. */
export type AnsweredRequest = {
  sentMs: number;
  /** The scheduler knew of a rate limit when it granted the slot for the request. */
  isRateLimited: boolean;
};

/** The statements of one response. */
export type ResponseStatement = {
  /** When the request was sent, in milliseconds since the Unix epoch. */
  sentWallMs: number;
  isLeaving: boolean;
  /** How long the backend server accepts no requests from this gateway, in milliseconds. */
  backoffMs: number | undefined;
  /** Requests per second from all gateways together; undefined if the response states no limit. */
  perSecond: number | undefined;
  /** Undefined if the response can lift no limit, for example an unsigned rejection. */
  answered: AnsweredRequest | undefined;
};

/** A change of the statements about a backend server; also logged. */
export type StatementChange = {
  server: string;
  change: 'leaving' | 'backoff' | 'rate-limit' | 'rate-limit-lifted';
  backoffMs?: number;
  perSecond?: number;
  before?: number;
};

/** The statement of a response that states nothing. */
export const EMPTY_STATEMENT: ResponseStatement = {
  sentWallMs: 0,
  isLeaving: false,
  backoffMs: undefined,
  perSecond: undefined,
  answered: undefined,
};

/**
 * How long statements about a backend server without a store entry are kept, in milliseconds: the
 * entry may reappear after a store outage or from an older backup.
 */
const RETENTION_MS = 60_000;
/**
 * How long schedulers are informed that a limit has been lifted, in milliseconds. A gateway that
 * still knows the limit gets a response from a busy backend server sooner than that.
 */
const LIFTED_LIMIT_REPORT_MS = 10_000;

/**
 * Returns whether a statement applies to an incarnation: the one that it was attributed to, or a
 * later one under the same id that had begun when the request was sent. Responses do not name the
 * incarnation they come from, and a restart is read from the store only later.
 */
export function isAboutLife(
  { bornMs, sentWallMs }: Pick<ServerStatement, 'bornMs' | 'sentWallMs'>,
  lifeBornMs: number,
): boolean {
  return lifeBornMs === bornMs || (lifeBornMs > bornMs && lifeBornMs <= sentWallMs);
}

/** Returns the statement that applies to an incarnation of a backend server. */
export function getStatement(
  statements: ServerStatements,
  { id, bornMs }: ServerLife,
): ServerStatement | undefined {
  const known = statements.get(id);
  return known !== undefined && isAboutLife(known, bornMs) ? known : undefined;
}

/** Returns whether a backend server has stated that it is leaving. */
export function isLeaving(statements: ServerStatements, life: ServerLife): boolean {
  return getStatement(statements, life)?.leavingSinceMs !== undefined;
}

/** Computes the remaining backoff of a backend server towards this gateway, in milliseconds. */
export function computeBackoffLeft(
  statements: ServerStatements,
  life: ServerLife,
  now: number,
): number {
  return Math.max((getStatement(statements, life)?.backoffUntilMs ?? 0) - now, 0);
}

/** Returns whether any backend server is in backoff towards this gateway. */
export function hasBackoffs(statements: ServerStatements, now: number): boolean {
  return [...statements.values()].some(({ backoffUntilMs }) => backoffUntilMs > now);
}

/** Returns whether a statement is sent to schedulers: it is active, or was until recently. */
export function isReportable(
  { leavingSinceMs, backoffUntilMs, rateLimit }: ServerStatement,
  now: number,
): boolean {
  const isLimitReportable =
    rateLimit !== undefined &&
    (rateLimit.perSecond !== undefined || now - rateLimit.statedMs < LIFTED_LIMIT_REPORT_MS);
  return leavingSinceMs !== undefined || backoffUntilMs > now || isLimitReportable;
}

/**
 * Returns whether a response without a stated limit lifts the known one.
 *
 * It does so only if this gateway or the scheduler knew of the limit when the request was sent.
 * Responses may arrive out of order: a response from before the overload may arrive after the
 * first one that states the limit.
 */
function isLimitLifted(
  known: StatedRateLimit | undefined,
  answered: AnsweredRequest | undefined,
): boolean {
  if (answered === undefined) {
    return false;
  }
  const isKnownHere = known?.perSecond !== undefined && answered.sentMs > known.statedMs;
  return isKnownHere || (answered.isRateLimited && known?.perSecond === undefined);
}

/** Finds the rate limit that applies after a response. */
function findRateLimit(
  known: StatedRateLimit | undefined,
  { perSecond, answered }: ResponseStatement,
  now: number,
): StatedRateLimit | undefined {
  const isChange = perSecond !== undefined || isLimitLifted(known, answered);
  return isChange ? { perSecond, statedMs: now } : known;
}

/** Lists what has changed from one statement to the next. */
function listChanges(
  server: string,
  before: ServerStatement | undefined,
  after: ServerStatement,
  { backoffMs }: ResponseStatement,
  now: number,
): StatementChange[] {
  const changes: StatementChange[] = [];
  if (after.leavingSinceMs !== undefined && before?.leavingSinceMs === undefined) {
    changes.push({ server, change: 'leaving' });
  }
  if (after.backoffUntilMs > now && (before?.backoffUntilMs ?? 0) <= now) {
    changes.push({ server, change: 'backoff', backoffMs });
  }
  const perSecond = after.rateLimit?.perSecond;
  const limitBefore = before?.rateLimit;
  const isFirstStatement = limitBefore === undefined && after.rateLimit !== undefined;
  if (isFirstStatement || perSecond !== limitBefore?.perSecond) {
    const change = perSecond === undefined ? 'rate-limit-lifted' : 'rate-limit';
    changes.push({ server, change, perSecond, before: limitBefore?.perSecond });
  }
  return changes;
}

/** Applies the statements of a response; returns the resulting changes. */
export function noteStatement(
  statements: ServerStatements,
  life: ServerLife,
  stated: ResponseStatement,
  now: number,
): StatementChange[] {
  const known = getStatement(statements, life);
  const rateLimit = findRateLimit(known?.rateLimit, stated, now);
  const { isLeaving: statesLeaving, backoffMs } = stated;
  if (!statesLeaving && backoffMs === undefined && rateLimit === known?.rateLimit) {
    return [];
  }
  const after = {
    bornMs: life.bornMs,
    sentWallMs: Math.max(known?.sentWallMs ?? 0, stated.sentWallMs),
    leavingSinceMs: known?.leavingSinceMs ?? (statesLeaving ? now : undefined),
    backoffUntilMs: Math.max(known?.backoffUntilMs ?? 0, now + (backoffMs ?? 0)),
    rateLimit,
    statedMs: now,
  };
  statements.set(life.id, after);
  return listChanges(life.id, known, after, stated, now);
}

/**
 * Removes statements about earlier incarnations, and those about backend servers that disappeared
 * long ago.
 *
 * @param findBornMs finds the start of the present incarnation; undefined if there is no entry
 */
export function expireStatements(
  statements: ServerStatements,
  findBornMs: (id: string) => number | undefined,
  now: number,
): void {
  [...statements]
    .filter(([id, statement]) => {
      const knownBornMs = findBornMs(id);
      const isOld = now - Math.max(statement.statedMs, statement.backoffUntilMs) > RETENTION_MS;
      return knownBornMs === undefined ? isOld : !isAboutLife(statement, knownBornMs);
    })
    .forEach(([id]) => statements.delete(id));
}
