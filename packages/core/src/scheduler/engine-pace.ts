/**
 * Measures the speed of each backend server.
 *
 * The engines of a service differ in speed by a factor of several, and the speed that they report
 * lags behind. The time between the events of a stream (for a plain service, the duration of a
 * response) shows the speed immediately and costs nothing to measure.
 */

export type EnginePace = {
  /** Moving average of the time per unit of work, milliseconds; 0 before the first sample. */
  unitMs: number;
  samples: number;
  updatedMs: number;
};

/** Weight of a new sample; a change of speed shows after three to four streams. */
const SAMPLE_WEIGHT = 0.25;
/** Time in which measured slowness decays to 1/e, so that a slow server is tried again, ms. */
const DECAY_TIME_MS = 20_000;
/** Slowness assumed for a backend server without samples. */
const DEFAULT_SLOWNESS = 1.2;
/** A very short sample, as after a stall of a gateway, must not make all other servers look slow. */
const MAX_SLOWNESS = 16;

/** Creates the record of a backend server without samples. */
export function createPace(): EnginePace {
  return { unitMs: 0, samples: 0, updatedMs: 0 };
}

/** Records the time of one unit of work, milliseconds. */
export function recordUnitTime(pace: EnginePace, unitMs: number, now: number): void {
  if (!(unitMs > 0) || !Number.isFinite(unitMs)) {
    return;
  }
  pace.samples += 1;
  pace.updatedMs = now;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / pace.samples);
  pace.unitMs += weight * (unitMs - pace.unitMs);
}

/** Finds the shortest time per unit of work, milliseconds; 0 if there are no samples. */
export function findShortestUnitMs(paces: readonly EnginePace[]): number {
  const measured = paces.filter((pace) => pace.samples > 0).map((pace) => pace.unitMs);
  return measured.length === 0 ? 0 : Math.min(...measured);
}

/** Estimates the time per unit of work relative to the fastest backend server; at least 1. */
export function estimateSlowness(pace: EnginePace, fastestMs: number, now: number): number {
  if (pace.samples === 0 || fastestMs <= 0) {
    return DEFAULT_SLOWNESS;
  }
  const decay = Math.exp(-Math.max(now - pace.updatedMs, 0) / DECAY_TIME_MS);
  return Math.min(1 + Math.max(pace.unitMs / fastestMs - 1, 0) * decay, MAX_SLOWNESS);
}
