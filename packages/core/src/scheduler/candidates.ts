/** What is weighed of the backend servers of a cell when a request is placed. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as cells from './cell.js';
import * as enginePace from './engine-pace.js';
import * as firstDelay from './first-delay.js';
import type * as serverChoice from './server-choice.js';
import * as serverLoad from './server-load.js';

/**
 * Where fewer than this share of the backend servers would be left, none is ejected
 * for failures: then the requests are at fault, and waiting helps none of them.
 */
const MIN_SOUND_SHARE = 0.5;
/** Places of a plain service whose entry names none. */
const DEFAULT_SLOTS = 4;

/** Gets the requests that a backend server works on at once. */
export function getSlots({ slots }: backendServerEntry.BackendServerEntry): number {
  return slots || DEFAULT_SLOTS;
}

/** Lists the backend servers of a cell that may get work now. */
export function listCandidates(
  cell: cells.Cell,
  entries: readonly backendServerEntry.BackendServerEntry[],
  taken: ReadonlyMap<string, number>,
  now: number,
): serverChoice.Candidate[] {
  const usable = entries.map((entry) => ({
    entry,
    load: cells.getLoad(cell, entry.id),
    inFlight: taken.get(entry.id) ?? 0,
  }));
  const usualMs = firstDelay.estimateExtraMs(cell.firstDelay, now);
  const fastest = enginePace.findFastest(usable.map(({ load }) => load.pace));
  const reachable = usable.filter(({ load }) => !serverLoad.isPaused(load, now));
  const sound = reachable.filter(
    ({ load, inFlight }) => !serverLoad.isEjected(load, inFlight, now),
  );
  const isCapped = sound.length < MIN_SOUND_SHARE * usable.length;
  return (isCapped ? reachable : sound).map(({ entry, load, inFlight }) => {
    const slowness = enginePace.estimateSlowness(load.pace, fastest, now);
    return {
      id: entry.id,
      failureDomain: entry.failureDomain,
      slots: getSlots(entry),
      inFlight,
      slowness,
      unitMs: fastest * slowness,
      firstExtraMs: firstDelay.estimateExtraMs(load.firstDelay, now, usualMs),
      failureShare: serverLoad.computeFailureShare(load),
    };
  });
}
