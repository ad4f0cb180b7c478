/**
 * When something was written to the store, in the order of its writes.
 *
 * A store that comes back from an older copy gives out the counts since that copy once
 * more, so that a count alone does not order what was written before and after.
 */

export type StoreRevision = {
  /** Rises each time the store comes back from an older copy; 0 where it does not tell. */
  era: number;
  /** Rises with each write of an era. */
  count: number;
};

/** Earlier than all that a store tells. */
export const BEFORE_ALL: StoreRevision = { era: -1, count: -1 };

/** Compares two revisions, for sorting: the later one is greater. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
  return a.era - b.era || a.count - b.count;
}

/** Tells whether a revision is later than another. */
export function isLater(revision: StoreRevision, other: StoreRevision): boolean {
  return compareRevisions(revision, other) > 0;
}
