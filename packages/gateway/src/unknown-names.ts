/**
 * Names of the platform that this product does not know.
 *
 * A header or a field that nobody has decided on may ask for something that is then not done.
 * Each is counted, logged at times, and shown to operators.
 */
import type * as decisionLog from './decision-log.js';

export type UnknownName = {
  /** Where it stands, as the adapter of the platform calls it. */
  place: string;
  name: string;
};

type UnknownCount = UnknownName & { count: number; loggedMs: number };

/** By place and name. */
export type UnknownNames = Map<string, UnknownCount>;

/** Names that are counted at most; a caller or a backend server could send any number. */
const MAX_NAMES = 32;
const LOG_INTERVAL_MS = 3_600_000;

/** Counts names, and logs each the first time and then once in an hour. */
export function noteUnknownNames(
  names: UnknownNames,
  log: decisionLog.DecisionLog,
  found: readonly UnknownName[],
  now: number,
): void {
  found.forEach(({ place, name }) => {
    const key = `${place} ${name}`;
    const known = names.get(key);
    if (known === undefined && names.size >= MAX_NAMES) {
      return;
    }
    const counted = known ?? { place, name, count: 0, loggedMs: -Infinity };
    names.set(key, counted);
    counted.count += 1;
    if (now - counted.loggedMs >= LOG_INTERVAL_MS) {
      counted.loggedMs = now;
      log.writeAlways('unknown-name', { place, name, count: counted.count });
    }
  });
}

/** Lists the names with their counts. */
export function listUnknownNames(names: UnknownNames): (UnknownName & { count: number })[] {
  return [...names.values()].map(({ place, name, count }) => ({ place, name, count }));
}
