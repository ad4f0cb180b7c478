/**
 * Whether the epoch of an answer of the store follows the one that is known.
 *
 * The epoch rises by one each time the store is restored from an older backup. A store that
 * tells none has one epoch for good.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as storeCodec from './store-codec.js';

/** The last revision that was read of an epoch, and the first of the next one. */
export type EpochChange = { before: gateway.StoreRevision; after: gateway.StoreRevision };

export type EpochFault = {
  kind: 'unreadable' | 'fell' | 'jumped';
  known: number;
  found: string;
};

/** Epoch of a store that tells none. */
const NO_EPOCH = 0;

/** What is made of the epoch of an answer; without an epoch the answer is not used. */
export type ResolvedEpoch = { epoch: number | undefined; fault: EpochFault | undefined };

/** Resolves the epoch of an answer by the latest one that was read. */
export function resolveEpoch(known: number, told: storeCodec.ParsedEpoch): ResolvedEpoch {
  const isFirst = known === gateway.EARLIEST_REVISION.epoch;
  const isMissing = told.kind === 'none' && !isFirst && known !== NO_EPOCH;
  if (told.kind === 'unreadable' || isMissing) {
    const found = told.kind === 'unreadable' ? told.text : '';
    return { epoch: undefined, fault: { kind: 'unreadable', known, found } };
  }
  const epoch = told.kind === 'told' ? told.epoch : NO_EPOCH;
  const found = String(epoch);
  if (!isFirst && epoch < known) {
    return { epoch: undefined, fault: { kind: 'fell', known, found } };
  }
  const isJump = !isFirst && known !== NO_EPOCH && epoch > known + 1;
  return { epoch, fault: isJump ? { kind: 'jumped', known, found } : undefined };
}
