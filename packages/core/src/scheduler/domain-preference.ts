/**
 * Keeps requests in the failure domain of their caller.
 *
 * Where the loss of failure domains must be tolerated, the work of one should not depend on
 * another unnecessarily, and traffic between them is billed. A request leaves its domain only if it
 * would be late there, if no slot is free there, or if the servers there are so much fuller that
 * its own domain can be said to lack servers.
 */
import type * as serverChoice from './server-choice.js';

/**
 * A backend server that fails a greater share of its responses is no reason to stay in a domain: it
 * looks idle because its requests end early.
 */
const MAX_FAILURE_SHARE = 0.25;
/** How far the share of slots in use may exceed that of another failure domain, 0 to 1. */
const MAX_FILL_GAP = 0.25;
/**
 * Share of the remaining time to its target that a request must have to spare in its own failure
 * domain. The estimate does not include the prompts that an engine reads before the request, which
 * take longest at slow engines.
 */
export const MARGIN_SHARE = 0.75;

/** Computes the share of slots in use by failure domain. */
function computeFill(candidates: readonly serverChoice.Candidate[]): Map<string, number> {
  const totals = new Map<string, { slots: number; inFlight: number }>();
  candidates.forEach(({ failureDomain, slots, inFlight }) => {
    const total = totals.get(failureDomain) ?? { slots: 0, inFlight: 0 };
    total.slots += slots;
    total.inFlight += inFlight;
    totals.set(failureDomain, total);
  });
  const fill = new Map<string, number>();
  totals.forEach(({ slots, inFlight }, domain) => fill.set(domain, inFlight / Math.max(slots, 1)));
  return fill;
}

/** Input of the choice. */
export type PreferenceSearch = {
  /** Free backend servers that suit the request. */
  usable: readonly serverChoice.Candidate[];
  /** All candidates of the cell, including full ones. */
  all: readonly serverChoice.Candidate[];
  /** Failure domain of the caller's gateway. */
  failureDomain: string;
  /** Reports whether the request would be on time at a server with `MARGIN_SHARE` to spare. */
  isSafe: (candidate: serverChoice.Candidate) => boolean;
};

/**
 * Lists the backend servers among which a request may be placed: those of its own failure domain
 * where it will be on time, and those of domains that are less full by more than `MAX_FILL_GAP`.
 * If there is none in its own domain, all that are usable are listed.
 */
export function listPreferred({
  usable,
  all,
  failureDomain,
  isSafe,
}: PreferenceSearch): readonly serverChoice.Candidate[] {
  const own = usable.filter(
    (one) =>
      one.failureDomain === failureDomain && one.failureShare <= MAX_FAILURE_SHARE && isSafe(one),
  );
  if (own.length === 0) {
    return usable;
  }
  const fill = computeFill(all);
  const ownFill = fill.get(failureDomain) ?? 0;
  const emptier = usable.filter(
    (one) => ownFill - (fill.get(one.failureDomain) ?? 0) > MAX_FILL_GAP,
  );
  return [...own, ...emptier];
}
