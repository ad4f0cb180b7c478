/**
 * What backend servers state about themselves in their answers.
 *
 * Kept by id and start of life, apart from the entries of the store: a statement holds for the
 * rest of that life, whether the store answers or not and whatever it tells.
 */

export type ServerStatement = {
  /** Start of the life that it is about, milliseconds since the Unix epoch. */
  bornMs: number;
  /** When an answer first said that the backend server leaves, milliseconds. */
  leavingSinceMs: number | undefined;
  /** The backend server takes nothing from this gateway until this time, milliseconds. */
  backoffUntilMs: number;
  /** When an answer last stated something, milliseconds. */
  statedMs: number;
};

/** By the id of the backend server. */
export type ServerStatements = Map<string, ServerStatement>;

/** One life of a backend server. */
export type ServerLife = { id: string; bornMs: number };

/** What one answer states. */
export type AnswerStatement = {
  isLeaving: boolean;
  /** Time for which the backend server takes nothing from this gateway, milliseconds. */
  backoffMs: number | undefined;
};

/** A change of what is known, for the log. */
export type StatementChange = {
  server: string;
  change: 'leaving' | 'backoff';
  backoffMs?: number;
};

/**
 * Statements about a backend server that has no entry are kept for this time, milliseconds: its
 * entry may come back, after an outage of the store or from an older backup.
 */
const KEPT_MS = 60_000;

/** Gets what a life of a backend server has stated. */
export function getStatement(
  statements: ServerStatements,
  { id, bornMs }: ServerLife,
): ServerStatement | undefined {
  const known = statements.get(id);
  return known?.bornMs === bornMs ? known : undefined;
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

/** Takes in what an answer states, and gives what is news. */
export function noteStatement(
  statements: ServerStatements,
  life: ServerLife,
  { isLeaving: saysLeaving, backoffMs }: AnswerStatement,
  now: number,
): StatementChange[] {
  if (!saysLeaving && backoffMs === undefined) {
    return [];
  }
  const { id, bornMs } = life;
  const known = getStatement(statements, life);
  const wasBackingOff = computeBackoffLeft(statements, life, now) > 0;
  statements.set(id, {
    bornMs,
    leavingSinceMs: known?.leavingSinceMs ?? (saysLeaving ? now : undefined),
    backoffUntilMs: Math.max(known?.backoffUntilMs ?? 0, now + (backoffMs ?? 0)),
    statedMs: now,
  });
  const changes: StatementChange[] = [];
  if (saysLeaving && known?.leavingSinceMs === undefined) {
    changes.push({ server: id, change: 'leaving' });
  }
  if (backoffMs !== undefined && !wasBackingOff) {
    changes.push({ server: id, change: 'backoff', backoffMs });
  }
  return changes;
}

/** Forgets statements about backend servers that have been gone for long. */
export function expireStatements(
  statements: ServerStatements,
  isKnown: (id: string) => boolean,
  now: number,
): void {
  [...statements]
    .filter(([id, { statedMs, backoffUntilMs }]) => {
      const isOld = now - Math.max(statedMs, backoffUntilMs) > KEPT_MS;
      return isOld && !isKnown(id);
    })
    .forEach(([id]) => statements.delete(id));
}
