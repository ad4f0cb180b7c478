/** How much of a list of the store has changed. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as storeCodec from './store-codec.js';

/** Part of the bytes of a list that must have changed for the next call to list again. */
const CHANGED_SHARE = 0.5;

/** Counts the bytes of the values of items. */
function countBytes(items: readonly storeCodec.StoreItem[]): number {
  return items.reduce((bytes, { value }) => bytes + (value?.length ?? 0), 0);
}

/** Returns whether much of a list has changed since a revision. */
export function hasChangedMuch(
  items: readonly storeCodec.StoreItem[],
  since: gateway.StoreRevision,
): boolean {
  const changed = items.filter(({ revision }) => gateway.isLater(revision, since));
  return countBytes(changed) > CHANGED_SHARE * countBytes(items);
}
