/** Selects by rotation which part of a list a report carries and which peers receive the report. */

/** Picks the items of one round, at most `limit`; consecutive rounds cover the whole list. */
export function pickForRound<T>(items: readonly T[], round: number, limit: number): T[] {
  const start = items.length > limit ? (round * limit) % items.length : 0;
  return [...items.slice(start), ...items.slice(0, start)].slice(0, limit);
}

/**
 * Computes the round for the content of a report from the report's sequence number.
 *
 * The content advances only after every receiver has got the current part. If content and
 * receivers both advanced with each report, their cycles could align: with 64 receivers, 16 per
 * report, and 40 workspaces, 20 per report, each receiver would only ever learn of the same half
 * of the workspaces, and the usage of the other half would never be charged.
 */
export function computeContentRound(sequence: number, receivers: number, fanOut: number): number {
  return Math.floor(sequence / Math.max(Math.ceil(receivers / fanOut), 1));
}
