/**
 * Whether the era of an answer of the store follows the one that is known.
 *
 * The era rises by one each time the store comes back from an older copy. A store that
 * tells none has one era for good.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as storeCodec from './store-codec.js';

/** The last revision that was read of an era, and the first of the next one. */
export type EraChange = { before: gateway.StoreRevision; after: gateway.StoreRevision };

export type EraFault = {
  kind: 'unreadable' | 'fell' | 'jumped';
  known: number;
  found: string;
};

/** Era of a store that tells none. */
const NO_ERA = 0;

/** What is made of the era of an answer; without an era the answer is not used. */
export type ResolvedEra = { era: number | undefined; fault: EraFault | undefined };

/** Resolves the era of an answer by the latest one that was read. */
export function resolveEra(known: number, told: storeCodec.AnswerEra): ResolvedEra {
  const isFirst = known === gateway.BEFORE_ALL.era;
  const isMissing = told.kind === 'none' && !isFirst && known !== NO_ERA;
  if (told.kind === 'unreadable' || isMissing) {
    const found = told.kind === 'unreadable' ? told.text : '';
    return { era: undefined, fault: { kind: 'unreadable', known, found } };
  }
  const era = told.kind === 'told' ? told.era : NO_ERA;
  const found = String(era);
  if (!isFirst && era < known) {
    return { era: undefined, fault: { kind: 'fell', known, found } };
  }
  const isJump = !isFirst && known !== NO_ERA && era > known + 1;
  return { era, fault: isJump ? { kind: 'jumped', known, found } : undefined };
}
