/**
 * How fast each backend server works, as this gateway sees it.
 *
 * Engines of one service differ several times over in speed and their own
 * reports lag. The time between the events of their streams (for a plain
 * service, the time of an answer) tells the speed at once and costs nothing; the
 * time to the first event, against that of an idle engine, tells how long new
 * work waits there.
 */

export type Pace = {
  /** Recent time of one unit of work, milliseconds; 0 while none was seen. */
  unitMs: number;
  samples: number;
  updatedMs: number;
  /** Recent time to a first event against that of an idle engine. */
  firstRatio: number;
  firstSamples: number;
  firstUpdatedMs: number;
};

/** Weight of a new sample; a change of speed shows after three to four streams. */
const SAMPLE_WEIGHT = 0.25;
/** Time in which what was seen fades to 1/e, so that a slow one is tried again, ms. */
const FADE_MS = 20_000;
/** The same for the time to a first event, which turns with the load, ms. */
const FIRST_FADE_MS = 2000;
/** Slowness that is assumed of a backend server not seen yet. */
const UNSEEN_SLOWNESS = 1.2;

/** Creates the pace of a backend server that was not seen yet. */
export function createPace(): Pace {
  return {
    unitMs: 0,
    samples: 0,
    updatedMs: 0,
    firstRatio: 1,
    firstSamples: 0,
    firstUpdatedMs: 0,
  };
}

/** Takes in the time of one unit of work, milliseconds. */
export function recordUnit(pace: Pace, unitMs: number, now: number): void {
  pace.samples += 1;
  pace.updatedMs = now;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / pace.samples);
  pace.unitMs += weight * (unitMs - pace.unitMs);
}

/** Takes in a time to a first event, against that of an idle engine. */
export function recordFirst(pace: Pace, ratio: number, now: number): void {
  pace.firstSamples += 1;
  pace.firstUpdatedMs = now;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / pace.firstSamples);
  pace.firstRatio += weight * (ratio - pace.firstRatio);
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

/** Estimates how many times longer than at an idle engine a first event takes. */
export function estimateFirstRatio(pace: Pace, slowness: number, now: number): number {
  const kept = Math.exp(-Math.max(now - pace.firstUpdatedMs, 0) / FIRST_FADE_MS);
  return pace.firstSamples === 0 ? slowness : slowness + kept * (pace.firstRatio - slowness);
}
