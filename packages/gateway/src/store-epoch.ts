/**
 * Checks whether the epoch of a store response follows the last known one.
 *
 * The epoch increases by one each time the store is restored from an older backup. A store that
 * does not report an epoch always has the same one.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as storeCodec from './store-codec.js';

/** The last revision read in one epoch, and the first revision read in the next. */
export type EpochChange = { before: gateway.StoreRevision; after: gateway.StoreRevision };

export type EpochFault = {
  kind: 'unreadable' | 'fell' | 'jumped';
  known: number;
  found: string;
};

/** Epoch of a store that does not report one. */
const NO_EPOCH = 0;

/**
 * Result of checking the epoch of a response; if `epoch` is undefined, the response is not used.
 */
export type ResolvedEpoch = { epoch: number | undefined; fault: EpochFault | undefined };

/** Determines the epoch of a response, given the last epoch that was read. */
export function resolveEpoch(known: number, parsed: storeCodec.ParsedEpoch): ResolvedEpoch {
  const isFirst = known === gateway.EARLIEST_REVISION.epoch;
  const isMissing = parsed.kind === 'none' && !isFirst && known !== NO_EPOCH;
  if (parsed.kind === 'unreadable' || isMissing) {
    const found = parsed.kind === 'unreadable' ? parsed.text : '';
    return { epoch: undefined, fault: { kind: 'unreadable', known, found } };
  }
  const epoch = parsed.kind === 'told' ? parsed.epoch : NO_EPOCH;
  const found = String(epoch);
  if (!isFirst && epoch < known) {
    return { epoch: undefined, fault: { kind: 'fell', known, found } };
  }
  const isJump = !isFirst && known !== NO_EPOCH && epoch > known + 1;
  return { epoch, fault: isJump ? { kind: 'jumped', known, found } : undefined };
}
