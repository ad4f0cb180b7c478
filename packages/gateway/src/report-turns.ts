/** Which part of a list a report carries, and whom it goes to, turn by turn. */

/** Rotates a list, so that a part of it in turn covers all of it. */
export function pickInTurn<T>(items: readonly T[], turn: number, most: number): T[] {
  const begin = items.length > most ? (turn * most) % items.length : 0;
  return [...items.slice(begin), ...items.slice(0, begin)].slice(0, most);
}

/**
 * Computes the turn of what a report carries, from the turn of its receivers.
 *
 * All receivers get the same part before the next part's turn comes. Were both to turn
 * with each report, some receivers would get the same part for ever: with 64 receivers,
 * 16 at a time, and 40 workspaces, 20 at a time, each would hear of one half of them
 * only, and what the other half used would never be charged.
 */
export function computePartTurn(sequence: number, receivers: number, fanOut: number): number {
  return Math.floor(sequence / Math.max(Math.ceil(receivers / fanOut), 1));
}
