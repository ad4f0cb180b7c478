/**
 * Tracks suspects: content that was running when an engine crashed.
 *
 * Every process has a list and merges the lists that it receives in heartbeats. Merging is
 * commutative, associative and idempotent, so reordered, lost and duplicate heartbeats do no harm.
 * Clearing a suspect restarts its count of crashes.
 */
import * as schema from '@toucanproxy/schema';

export type Suspects = {
  byDigest: Map<string, schema.Suspect>;
  /** Increases with each change, so that links send the list only after a change. */
  revision: number;
};

/** Number of crashes from which on content is refused. */
export const MAX_CRASHES = 2;

/** How long an entry is kept after its last crash or clearance, milliseconds. */
export const SUSPECT_KEEP_MS = 60 * 60 * 1000;

/** Maximum number of entries; bounds the memory and the size of a heartbeat. */
export const MAX_SUSPECTS = 256;

/** Creates an empty list. */
export function createSuspects(): Suspects {
  return { byDigest: new Map(), revision: 0 };
}

/** Returns the recorded number of crashes of content. */
function countCrashes(suspects: Suspects, contentDigest: string): number {
  return suspects.byDigest.get(contentDigest)?.crashes ?? 0;
}

/** Reports whether content is a suspect and may only run alone. */
export function isSuspect(suspects: Suspects, contentDigest: string): boolean {
  return countCrashes(suspects, contentDigest) > 0;
}

/** Reports whether content is refused. */
export function isBlocked(suspects: Suspects, contentDigest: string): boolean {
  return countCrashes(suspects, contentDigest) >= MAX_CRASHES;
}

/** Returns the time of the last crash or clearance, milliseconds since the Unix epoch. */
function getLastUpdateMs(suspect: schema.Suspect): number {
  return Math.max(suspect.lastCrashMs, suspect.clearedMs);
}

/** Lists the entries for a heartbeat. */
export function listSuspects(suspects: Suspects): schema.Suspect[] {
  return [...suspects.byDigest.values()];
}

/** Removes excess entries: those with the fewest crashes first, the oldest of them first. */
function trimSuspects(suspects: Suspects): void {
  const excess = suspects.byDigest.size - MAX_SUSPECTS;
  if (excess <= 0) {
    return;
  }
  const ranked = listSuspects(suspects).sort(
    (a, b) => a.crashes - b.crashes || getLastUpdateMs(a) - getLastUpdateMs(b),
  );
  ranked.slice(0, excess).forEach((one) => suspects.byDigest.delete(one.contentDigest));
}

/** Stores an entry. */
function setSuspect(suspects: Suspects, suspect: schema.Suspect): void {
  suspects.byDigest.set(suspect.contentDigest, suspect);
  suspects.revision += 1;
  trimSuspects(suspects);
}

/** Merges two entries of the same content: the later clearance wins, then the maximum values. */
function mergeSuspect(known: schema.Suspect, received: schema.Suspect): schema.Suspect {
  if (known.clearedMs !== received.clearedMs) {
    return known.clearedMs > received.clearedMs ? known : received;
  }
  const crashes = Math.max(known.crashes, received.crashes);
  const lastCrashMs = Math.max(known.lastCrashMs, received.lastCrashMs);
  const same = crashes === known.crashes && lastCrashMs === known.lastCrashMs;
  return same ? known : { ...known, crashes, lastCrashMs };
}

/** Merges received entries into the list; returns whether the list changed. */
export function mergeSuspects(
  suspects: Suspects,
  received: readonly schema.Suspect[],
  now: number,
): boolean {
  const { revision } = suspects;
  received
    .filter((one) => one.contentDigest !== '' && now - getLastUpdateMs(one) < SUSPECT_KEEP_MS)
    .forEach((one) => {
      const known = suspects.byDigest.get(one.contentDigest);
      const merged = known === undefined ? one : mergeSuspect(known, one);
      if (merged !== known) {
        setSuspect(suspects, merged);
      }
    });
  return suspects.revision !== revision;
}

/**
 * Records content that was running when an engine crashed.
 *
 * Only a crash while the content ran alone increases the count. Otherwise the content becomes a
 * suspect at most; if such crashes were counted, content that often runs next to the actual cause
 * would be refused.
 */
export function recordCrash(
  suspects: Suspects,
  contentDigest: string,
  alone: boolean,
  now: number,
): void {
  if (contentDigest === '') {
    return;
  }
  const known = suspects.byDigest.get(contentDigest);
  const before = known?.crashes ?? 0;
  const crashes = alone ? Math.min(before + 1, MAX_CRASHES) : Math.max(before, 1);
  const clearedMs = known?.clearedMs ?? 0;
  const fields = { contentDigest, crashes, lastCrashMs: now, clearedMs };
  setSuspect(suspects, schema.create(schema.SuspectSchema, fields));
}

/** Clears a suspect that has completed; the clearance spreads in heartbeats like a crash. */
export function clearSuspect(suspects: Suspects, contentDigest: string, now: number): boolean {
  const known = suspects.byDigest.get(contentDigest);
  if (known === undefined || known.crashes === 0) {
    return false;
  }
  const clearedMs = Math.max(now, known.clearedMs + 1);
  setSuspect(suspects, { ...known, crashes: 0, clearedMs });
  return true;
}

/** Removes entries without a crash or clearance for `SUSPECT_KEEP_MS`. */
export function expireSuspects(suspects: Suspects, now: number): void {
  suspects.byDigest.forEach((one, digest) => {
    if (now - getLastUpdateMs(one) >= SUSPECT_KEEP_MS) {
      suspects.byDigest.delete(digest);
    }
  });
}
