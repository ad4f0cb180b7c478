/**
 * How fast each backend server works, as this gateway sees it.
 *
 * Engines of one service differ several times over in speed and their own
 * reports lag. The time between the events of their streams (for a plain
 * service, the time of an answer) tells the speed at once and costs nothing.
 */

export type Pace = {
  /** Recent time of one unit of work, milliseconds; 0 while none was seen. */
  unitMs: number;
  samples: number;
  updatedMs: number;
};

/** Weight of a new sample; a change of speed shows after three to four streams. */
const SAMPLE_WEIGHT = 0.25;
/** Time in which what was seen fades to 1/e, so that a slow one is tried again, ms. */
const FADE_MS = 20_000;
/** Slowness that is assumed of a backend server not seen yet. */
const UNSEEN_SLOWNESS = 1.2;

/** Creates the pace of a backend server that was not seen yet. */
export function createPace(): Pace {
  return { unitMs: 0, samples: 0, updatedMs: 0 };
}

/** Takes in the time of one unit of work, milliseconds. */
export function recordUnit(pace: Pace, unitMs: number, now: number): void {
  pace.samples += 1;
  pace.updatedMs = now;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / pace.samples);
  pace.unitMs += weight * (unitMs - pace.unitMs);
}

/** Finds the shortest unit among backend servers of a service; 0 where none was seen. */
export function findFastest(paces: readonly Pace[]): number {
  const seen = paces.filter((pace) => pace.samples > 0).map((pace) => pace.unitMs);
  return seen.length === 0 ? 0 : Math.min(...seen);
}

/** Estimates how many times slower a backend server is than the fastest; 1 at least. */
export function estimateSlowness(pace: Pace, fastestMs: number, now: number): number {
  if (pace.samples === 0 || fastestMs <= 0) {
    return UNSEEN_SLOWNESS;
  }
  const kept = Math.exp(-Math.max(now - pace.updatedMs, 0) / FADE_MS);
  return 1 + Math.max(pace.unitMs / fastestMs - 1, 0) * kept;
}
