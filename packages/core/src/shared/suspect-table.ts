/**
 * Content that crashed engines, as heard from all sides.
 *
 * Tables are merged by maximum, so that the order and number of messages do
 * not matter. They are bounded and expire: a digest says nothing of content
 * that has been mended since.
 */
import * as schema from '@toucanproxy/schema';

export type KnownSuspect = {
  contentDigest: string;
  crashes: number;
  lastCrashMs: number;
  /** Revision of the table in which this suspect last changed. */
  revision: number;
};

export type SuspectTable = {
  /** In order of the last change, the oldest first. */
  suspects: Map<string, KnownSuspect>;
  /** Goes up with each change. */
  revision: number;
};

/** Crashes after which content is refused. */
export const REFUSED_AFTER_CRASHES = 2;

const MAX_SUSPECTS = 512;
/** How long a suspect is remembered after its last crash, milliseconds. */
const REMEMBERED_MS = 3_600_000;

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
  return { suspects: new Map(), revision: 0 };
}

/** Stores a changed suspect as the newest. */
function storeSuspect(table: SuspectTable, suspect: Omit<KnownSuspect, 'revision'>): void {
  table.revision += 1;
  table.suspects.delete(suspect.contentDigest);
  table.suspects.set(suspect.contentDigest, { ...suspect, revision: table.revision });
  if (table.suspects.size > MAX_SUSPECTS) {
    const [oldest] = table.suspects.keys();
    table.suspects.delete(oldest);
  }
}

/** Merges what another process knows. */
export function mergeSuspects(
  table: SuspectTable,
  heard: readonly schema.Suspect[],
  now: number,
): void {
  heard
    .filter((one) => one.contentDigest !== '' && now - one.lastCrashMs <= REMEMBERED_MS)
    .forEach((one) => {
      const known = table.suspects.get(one.contentDigest);
      const crashes = Math.max(known?.crashes ?? 0, one.crashes);
      const lastCrashMs = Math.max(known?.lastCrashMs ?? 0, one.lastCrashMs);
      if (crashes !== known?.crashes || lastCrashMs !== known.lastCrashMs) {
        storeSuspect(table, { contentDigest: one.contentDigest, crashes, lastCrashMs });
      }
    });
}

/** Tells whether content is refused. */
export function isRefused(table: SuspectTable, contentDigest: string, now: number): boolean {
  const known = table.suspects.get(contentDigest);
  return (
    known !== undefined &&
    known.crashes >= REFUSED_AFTER_CRASHES &&
    now - known.lastCrashMs <= REMEMBERED_MS
  );
}

/** Lists suspects that changed after a revision, the first ones first, up to a count. */
export function listChanged(
  table: SuspectTable,
  afterRevision: number,
  maxCount: number,
): KnownSuspect[] {
  if (table.revision <= afterRevision) {
    return [];
  }
  return [...table.suspects.values()]
    .filter((suspect) => suspect.revision > afterRevision)
    .slice(0, maxCount);
}
