/**
 * Counts headers, fields and keys of the platform that the gateway does not know.
 *
 * An unknown name may request something that the gateway then does not do. Each name is counted,
 * logged at most once an hour, and shown to operators.
 */
import type * as decisionLog from './decision-log.js';

export type UnknownName = {
  /** Where the name was found, as the platform adapter calls it. */
  place: string;
  name: string;
};

type UnknownCount = UnknownName & { count: number; loggedMs: number };

/** Counts by place and name. */
export type UnknownNames = Map<string, UnknownCount>;

/** Maximum number of names; callers and backend servers could send any number of different ones. */
const MAX_NAMES = 32;
const LOG_INTERVAL_MS = 3_600_000;

/** Counts names, and logs each the first time and then at most once an hour. */
export function recordUnknownNames(
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
    const entry = known ?? { place, name, count: 0, loggedMs: -Infinity };
    names.set(key, entry);
    entry.count += 1;
    if (now - entry.loggedMs >= LOG_INTERVAL_MS) {
      entry.loggedMs = now;
      log.writeAlways('unknown-name', { place, name, count: entry.count });
    }
  });
}

/** Lists the names with their counts. */
export function listUnknownNames(names: UnknownNames): (UnknownName & { count: number })[] {
  return [...names.values()].map(({ place, name, count }) => ({ place, name, count }));
}
