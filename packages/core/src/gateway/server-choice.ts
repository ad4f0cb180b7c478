/**
 * Which backend server gets the next request, and which has room for one.
 *
 * Engines know no urgency: what they queue runs in order of arrival. So no more
 * is sent to one than it works on at once, and the rest waits here in order of
 * urgency. A place is worth the more the faster its engine; the slow ones are
 * used when the fast ones are full.
 */

import type * as peerView from './peer-view.js';

export type Candidate = {
  id: string;
  /** Requests that it works on at once. */
  slots: number;
  /** Requests there of this gateway, and of the others as they last told. */
  ownInFlight: number;
  peersInFlight: number;
  /** Times slower than the fastest of its service. */
  slowness: number;
  /** Time of one unit of work, an event or an answer, milliseconds; 0 if unknown. */
  unitMs: number;
  /** Time that a first event takes beyond that of an idle engine, milliseconds. */
  firstExtraMs: number;
  /** Recent share of failed answers, 0 to 1. */
  failureShare: number;
  /** In the failure domain of this gateway. */
  isNear: boolean;
};

/**
 * Requests beyond its places that a backend server may seem to have. Some of
 * those that peers told of have ended since, at five reports a second about one.
 */
const OVERLAP = 0;
/** How much a full backend server is slower than an empty one. */
const LOAD_SLOWDOWN = 1;
/** What a failed answer costs against one unit of slowness. */
const FAILURE_COST = 6;
/** Preference for the own failure domain; bytes between domains cost money. */
const DISTANCE_COST = 0.1;

/**
 * Tells whether a backend server has a place for this gateway.
 *
 * Its places are shared by all gateways in proportion to the requests that each
 * has in hand. Reports are a fraction of a second old: if each gateway took any
 * place that looked free, a backend server that has just come back would get
 * three times what it works on at once (measured), and urgent work would wait in
 * it behind less urgent work.
 *
 * The places are dealt in order of the gateways' addresses, so that fractions are
 * rounded to the same sum by all; `offset` lets each backend server begin the
 * rounding elsewhere.
 *
 * @param share part of the requests for the service that this gateway has
 * @param offset fixed number from 0 to 1 of the backend server
 */
export function hasPlace(candidate: Candidate, share: peerView.Share, offset: number): boolean {
  const { slots, ownInFlight, peersInFlight } = candidate;
  if (ownInFlight + peersInFlight > slots + OVERLAP) {
    return false;
  }
  const begin = Math.floor(offset + slots * share.before);
  const end = Math.floor(offset + slots * (share.before + share.own));
  return ownInFlight < end - begin;
}

/** Estimates the cost of placing a request; the least wins. */
function estimateCost(candidate: Candidate): number {
  const load = (candidate.ownInFlight + candidate.peersInFlight) / Math.max(candidate.slots, 1);
  return (
    candidate.slowness * (1 + LOAD_SLOWDOWN * load) +
    FAILURE_COST * candidate.failureShare +
    (candidate.isNear ? 0 : DISTANCE_COST)
  );
}

/** Chooses the best of the candidates that have a place. */
export function chooseServer(
  candidates: readonly Candidate[],
  drawRandom: () => number,
): Candidate | undefined {
  const costs = candidates.map((one) => ({ one, cost: estimateCost(one), tie: drawRandom() }));
  costs.sort((a, b) => a.cost - b.cost || a.tie - b.tie);
  return costs[0]?.one;
}
