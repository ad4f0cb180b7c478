/**
 * When something was written to the store, in the order of its writes.
 *
 * A store that is restored from an older backup gives out the counts since that backup once
 * more, so that a count alone does not order what was written before and after.
 */

export type StoreRevision = {
  /** Rises each time the store is restored from an older backup; 0 where it does not tell. */
  epoch: number;
  /** Rises with each write of an epoch. */
  count: number;
};

/** Earlier than all that a store tells. */
export const EARLIEST_REVISION: StoreRevision = { epoch: -1, count: -1 };

/** Compares two revisions, for sorting: the later one is greater. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
  return a.epoch - b.epoch || a.count - b.count;
}

/** Tells whether a revision is later than another. */
export function isLater(revision: StoreRevision, other: StoreRevision): boolean {
  return compareRevisions(revision, other) > 0;
}
