/** Reservations, which ask for a slot without the request itself, and the slots held for them. */
import * as schema from '@toucanproxy/schema';

/** A queued request for a slot. */
export type Reservation = {
  linkId: number;
  reserve: schema.Reserve;
  queuedMs: number;
};

/** A slot that is kept free until its request is offered. */
export type Hold = {
  requestId: string;
  linkId: number;
  tierRank: number;
  estimatedTokens: number;
  /** When the hold expires, milliseconds since the Unix epoch. */
  untilMs: number;
};

/**
 * How long a granted slot is held, milliseconds: a few round trips between
 * failure domains. An entry that takes longer loses the slot, not the request.
 */
export const HOLD_MS = 200;
