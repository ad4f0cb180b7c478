/**
 * How long requests wait inside engines before their first event.
 *
 * An engine that works on as many requests as it can reads the prompt of a new one
 * in turns with the tokens of the others. Load pattern: all engines are full, and
 * a first event comes later than at an idle one, by much the same time for short and
 * for long prompts. Left out of the estimate, a request is held until only an idle
 * engine would have it on time, and then comes late.
 *
 * Each engine is seen too seldom where there are many gateways, so that what was
 * seen at all of them together stands in for it.
 */

export type FirstDelay = {
  /** Recent time beyond that of an idle engine, milliseconds. */
  extraMs: number;
  samples: number;
  updatedMs: number;
};

/** Weight of a new sample; a burst shows after three to four requests. */
const SAMPLE_WEIGHT = 0.25;
/** Time in which what was seen fades to 1/e, milliseconds; it turns with the load. */
const FADE_MS = 2000;

/** Creates the delay of engines at which nothing was seen. */
export function createFirstDelay(): FirstDelay {
  return { extraMs: 0, samples: 0, updatedMs: 0 };
}

/** Takes in the time of one first event beyond that of an idle engine, milliseconds. */
export function recordExtra(delay: FirstDelay, extraMs: number, now: number): void {
  const recent = estimateExtraMs(delay, now);
  delay.samples += 1;
  delay.updatedMs = now;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / delay.samples);
  delay.extraMs = recent + weight * (Math.max(extraMs, 0) - recent);
}

/**
 * Estimates the time beyond that of an idle engine, milliseconds.
 *
 * @param usualMs what is expected where nothing was seen lately
 */
export function estimateExtraMs(delay: FirstDelay, now: number, usualMs = 0): number {
  if (delay.samples === 0) {
    return usualMs;
  }
  const kept = Math.exp(-Math.max(now - delay.updatedMs, 0) / FADE_MS);
  return usualMs + kept * (delay.extraMs - usualMs);
}
