/** Places asked for without the request itself, and places held for one. */
import * as schema from '@toucanproxy/schema';

/** A queued demand for a place. */
export type Reservation = {
  linkId: number;
  reserve: schema.Reserve;
  queuedMs: number;
};

/** A place that is kept free until its request is offered. */
export type Hold = {
  requestId: string;
  linkId: number;
  tierRank: number;
  estimatedTokens: number;
  /** The place is given up at this time, milliseconds since the Unix epoch. */
  untilMs: number;
};

/**
 * How long a granted place is held, milliseconds: a few round trips between
 * failure domains. An entry that takes longer loses the place, not the request.
 */
export const HOLD_MS = 200;
