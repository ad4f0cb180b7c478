/**
 * Orders the writes to the store.
 *
 * A store that is restored from an older backup reuses the counts since that backup, so the count
 * alone does not order the writes before and after the restore.
 */

export type StoreRevision = {
  /** Increases each time the store is restored from an older backup; 0 if not reported. */
  epoch: number;
  /** Increases with each write within an epoch. */
  count: number;
};

/** Earlier than any revision that a store reports. */
export const EARLIEST_REVISION: StoreRevision = { epoch: -1, count: -1 };

/** Compares two revisions for sorting; the later one is greater. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
  return a.epoch - b.epoch || a.count - b.count;
}

/** Reports whether a revision is later than another. */
export function isLater(revision: StoreRevision, other: StoreRevision): boolean {
  return compareRevisions(revision, other) > 0;
}
