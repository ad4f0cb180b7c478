/**
 * Content that was running when an engine crashed.
 *
 * Every process keeps a list and merges what it hears on heartbeats. Merging
 * is commutative, associative and idempotent, so that order, loss and doubling
 * of heartbeats do not matter. A clearance begins a new count of crashes.
 */
import * as schema from '@toucanproxy/schema';

export type Suspects = {
  byDigest: Map<string, schema.Suspect>;
  /** Goes up with each change, so that links send the list only on change. */
  revision: number;
};

/** Crashes after which content is refused. */
export const MAX_CRASHES = 2;

/** How long content is remembered after its last news, milliseconds. */
export const SUSPECT_KEEP_MS = 60 * 60 * 1000;

/** Entries of a list; bounds its memory and the size of a heartbeat. */
export const MAX_SUSPECTS = 256;

/** Creates an empty list. */
export function createSuspects(): Suspects {
  return { byDigest: new Map(), revision: 0 };
}

/** Counts the crashes that content is known for. */
function countCrashes(suspects: Suspects, contentDigest: string): number {
  return suspects.byDigest.get(contentDigest)?.crashes ?? 0;
}

/** Tells whether content may only run alone. */
export function isSuspect(suspects: Suspects, contentDigest: string): boolean {
  return countCrashes(suspects, contentDigest) > 0;
}

/** Tells whether content is refused. */
export function isBlocked(suspects: Suspects, contentDigest: string): boolean {
  return countCrashes(suspects, contentDigest) >= MAX_CRASHES;
}

/** Gets the time of the last news about content, milliseconds since the Unix epoch. */
function getLastNewsMs(suspect: schema.Suspect): number {
  return Math.max(suspect.lastCrashMs, suspect.clearedMs);
}

/** Lists the entries, for a heartbeat. */
export function listSuspects(suspects: Suspects): schema.Suspect[] {
  return [...suspects.byDigest.values()];
}

/** Drops the oldest of the least crashes while there are too many entries. */
function trimSuspects(suspects: Suspects): void {
  const excess = suspects.byDigest.size - MAX_SUSPECTS;
  if (excess <= 0) {
    return;
  }
  const ranked = listSuspects(suspects).sort(
    (a, b) => a.crashes - b.crashes || getLastNewsMs(a) - getLastNewsMs(b),
  );
  ranked.slice(0, excess).forEach((one) => suspects.byDigest.delete(one.contentDigest));
}

/** Stores one entry. */
function setSuspect(suspects: Suspects, suspect: schema.Suspect): void {
  suspects.byDigest.set(suspect.contentDigest, suspect);
  suspects.revision += 1;
  trimSuspects(suspects);
}

/** Merges two entries of the same content: the later clearance counts, then the maximum. */
function mergeOne(known: schema.Suspect, heard: schema.Suspect): schema.Suspect {
  if (known.clearedMs !== heard.clearedMs) {
    return known.clearedMs > heard.clearedMs ? known : heard;
  }
  const crashes = Math.max(known.crashes, heard.crashes);
  const lastCrashMs = Math.max(known.lastCrashMs, heard.lastCrashMs);
  const same = crashes === known.crashes && lastCrashMs === known.lastCrashMs;
  return same ? known : { ...known, crashes, lastCrashMs };
}

/** Merges what was heard into the list; true where the list changed. */
export function mergeSuspects(
  suspects: Suspects,
  heard: readonly schema.Suspect[],
  now: number,
): boolean {
  const { revision } = suspects;
  heard
    .filter((one) => one.contentDigest !== '' && now - getLastNewsMs(one) < SUSPECT_KEEP_MS)
    .forEach((one) => {
      const known = suspects.byDigest.get(one.contentDigest);
      const merged = known === undefined ? one : mergeOne(known, one);
      if (merged !== known) {
        setSuspect(suspects, merged);
      }
    });
  return suspects.revision !== revision;
}

/**
 * Records content that was running when an engine crashed.
 *
 * Only a crash while running alone adds to the count. In company it makes a
 * suspect at most, else content that often runs beside a crasher would be
 * refused without being at fault.
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

/** Clears a suspect that has completed; the clearance travels like the suspicion. */
export function clearSuspect(suspects: Suspects, contentDigest: string, now: number): boolean {
  const known = suspects.byDigest.get(contentDigest);
  if (known === undefined || known.crashes === 0) {
    return false;
  }
  const clearedMs = Math.max(now, known.clearedMs + 1);
  setSuspect(suspects, { ...known, crashes: 0, clearedMs });
  return true;
}

/** Forgets entries without news for `SUSPECT_KEEP_MS`. */
export function expireSuspects(suspects: Suspects, now: number): void {
  suspects.byDigest.forEach((one, digest) => {
    if (now - getLastNewsMs(one) >= SUSPECT_KEEP_MS) {
      suspects.byDigest.delete(digest);
    }
  });
}
