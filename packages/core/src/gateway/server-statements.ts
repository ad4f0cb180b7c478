/**
 * What backend servers state about themselves in their answers.
 *
 * Kept by id and start of life, apart from the entries of the store: a statement holds for the
 * rest of that life, whether the store answers or not and whatever it tells.
 */

/** A rate limit, as an answer last named it. */
export type NamedLimit = {
  /** Requests a second from all gateways together; undefined once it is lifted. */
  perSecond: number | undefined;
  /** When an answer last said so, milliseconds. */
  statedMs: number;
};

export type ServerStatement = {
  /** Start of the life that it was put down to, milliseconds since the Unix epoch. */
  bornMs: number;
  /** When the last request whose answer stated something was sent, in the same unit. */
  sentWallMs: number;
  /** When an answer first said that the backend server leaves, milliseconds. */
  leavingSinceMs: number | undefined;
  /** The backend server takes nothing from this gateway until this time, milliseconds. */
  backoffUntilMs: number;
  /** Undefined where no answer has named or lifted one. */
  rateLimit: NamedLimit | undefined;
  /** When an answer last stated something, milliseconds. */
  statedMs: number;
};

/** By the id of the backend server. */
export type ServerStatements = Map<string, ServerStatement>;

/** One life of a backend server. */
export type ServerLife = { id: string; bornMs: number };

/** The request of an answer, as far as it tells whether the answer lifts a rate limit. */
export type AnsweredRequest = {
  sentMs: number;
  /** The scheduler knew of a rate limit when it granted the place. */
  isRateLimited: boolean;
};

/** What one answer states. */
export type ResponseStatement = {
  /** When the request was sent, milliseconds since the Unix epoch. */
  sentWallMs: number;
  isLeaving: boolean;
  /** Time for which the backend server takes nothing from this gateway, milliseconds. */
  backoffMs: number | undefined;
  /** Requests a second from all gateways together; undefined where the answer names no limit. */
  perSecond: number | undefined;
  /** Undefined where the answer lifts no limit, such as a refusal that nobody signed. */
  answered: AnsweredRequest | undefined;
};

/** A change of what is known, for the log. */
export type StatementChange = {
  server: string;
  change: 'leaving' | 'backoff' | 'rate-limit' | 'rate-limit-lifted';
  backoffMs?: number;
  perSecond?: number;
  before?: number;
};

/** An answer that states nothing. */
export const EMPTY_STATEMENT: ResponseStatement = {
  sentWallMs: 0,
  isLeaving: false,
  backoffMs: undefined,
  perSecond: undefined,
  answered: undefined,
};

/**
 * Statements about a backend server that has no entry are kept for this time, milliseconds: its
 * entry may come back, after an outage of the store or from an older backup.
 */
const KEPT_MS = 60_000;
/**
 * Schedulers get a lifted limit for this time, milliseconds: longer than a gateway that knows
 * of the limit only goes without an answer of a busy backend server.
 */
const LIFTED_REPORTED_MS = 10_000;

/**
 * Tells whether a statement is about a life: the one that it was put down to, or a later one
 * under the same id that had begun when the request was sent. Answers do not tell their life, and
 * a restart is read from the store only later.
 */
export function isAbout(
  { bornMs, sentWallMs }: Pick<ServerStatement, 'bornMs' | 'sentWallMs'>,
  lifeBornMs: number,
): boolean {
  return lifeBornMs === bornMs || (lifeBornMs > bornMs && lifeBornMs <= sentWallMs);
}

/** Gets what a life of a backend server has stated. */
export function getStatement(
  statements: ServerStatements,
  { id, bornMs }: ServerLife,
): ServerStatement | undefined {
  const known = statements.get(id);
  return known !== undefined && isAbout(known, bornMs) ? known : undefined;
}

/** Tells whether a backend server has said that it leaves. */
export function isLeaving(statements: ServerStatements, life: ServerLife): boolean {
  return getStatement(statements, life)?.leavingSinceMs !== undefined;
}

/** Computes how much longer a backend server takes nothing from this gateway, milliseconds. */
export function computeBackoffLeft(
  statements: ServerStatements,
  life: ServerLife,
  now: number,
): number {
  return Math.max((getStatement(statements, life)?.backoffUntilMs ?? 0) - now, 0);
}

/** Tells whether any backend server takes nothing from this gateway for now. */
export function hasBackoffs(statements: ServerStatements, now: number): boolean {
  return [...statements.values()].some(({ backoffUntilMs }) => backoffUntilMs > now);
}

/** Tells whether schedulers get a statement with each ask: it holds, or held until lately. */
export function isReported(
  { leavingSinceMs, backoffUntilMs, rateLimit }: ServerStatement,
  now: number,
): boolean {
  const isLimitTold =
    rateLimit !== undefined &&
    (rateLimit.perSecond !== undefined || now - rateLimit.statedMs < LIFTED_REPORTED_MS);
  return leavingSinceMs !== undefined || backoffUntilMs > now || isLimitTold;
}

/**
 * Tells whether an answer that names no limit lifts one.
 *
 * Only if the limit was known when the request was sent, here or to the scheduler. Answers
 * overtake each other: one from before the overload may come in after the first that names it.
 */
function isLifting(known: NamedLimit | undefined, answered: AnsweredRequest | undefined): boolean {
  if (answered === undefined) {
    return false;
  }
  const isKnownHere = known?.perSecond !== undefined && answered.sentMs > known.statedMs;
  return isKnownHere || (answered.isRateLimited && known?.perSecond === undefined);
}

/** Finds the rate limit after an answer. */
function findRateLimit(
  known: NamedLimit | undefined,
  { perSecond, answered }: ResponseStatement,
  now: number,
): NamedLimit | undefined {
  const isNews = perSecond !== undefined || isLifting(known, answered);
  return isNews ? { perSecond, statedMs: now } : known;
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
  const isFirstWord = limitBefore === undefined && after.rateLimit !== undefined;
  if (isFirstWord || perSecond !== limitBefore?.perSecond) {
    const change = perSecond === undefined ? 'rate-limit-lifted' : 'rate-limit';
    changes.push({ server, change, perSecond, before: limitBefore?.perSecond });
  }
  return changes;
}

/** Takes in what an answer states, and gives what is news. */
export function noteStatement(
  statements: ServerStatements,
  life: ServerLife,
  stated: ResponseStatement,
  now: number,
): StatementChange[] {
  const known = getStatement(statements, life);
  const rateLimit = findRateLimit(known?.rateLimit, stated, now);
  const { isLeaving: saysLeaving, backoffMs } = stated;
  if (!saysLeaving && backoffMs === undefined && rateLimit === known?.rateLimit) {
    return [];
  }
  const after = {
    bornMs: life.bornMs,
    sentWallMs: Math.max(known?.sentWallMs ?? 0, stated.sentWallMs),
    leavingSinceMs: known?.leavingSinceMs ?? (saysLeaving ? now : undefined),
    backoffUntilMs: Math.max(known?.backoffUntilMs ?? 0, now + (backoffMs ?? 0)),
    rateLimit,
    statedMs: now,
  };
  statements.set(life.id, after);
  return listChanges(life.id, known, after, stated, now);
}

/**
 * Forgets statements of earlier lives, and those about backend servers that have been gone for long.
 *
 * @param findBornMs finds the start of the present life; undefined where there is no entry
 */
export function expireStatements(
  statements: ServerStatements,
  findBornMs: (id: string) => number | undefined,
  now: number,
): void {
  [...statements]
    .filter(([id, statement]) => {
      const knownBornMs = findBornMs(id);
      const isOld = now - Math.max(statement.statedMs, statement.backoffUntilMs) > KEPT_MS;
      return knownBornMs === undefined ? isOld : !isAbout(statement, knownBornMs);
    })
    .forEach(([id]) => statements.delete(id));
}
