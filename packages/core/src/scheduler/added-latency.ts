/**
 * Estimates how much longer the first event takes at a busy engine than at an idle one, or than
 * predicted from its unread prompts if these are known.
 *
 * A fully loaded engine processes the prompt of a new request in turns with the tokens of its
 * other requests. The first event then comes later than at an idle engine, by about the same time
 * for short and for long prompts. Without this estimate, when all
 * engines are full, a request would be held until only an idle engine could serve it on time, and
 * would be late.
 *
 * With many gateways there are few samples of each engine, so the estimate across all engines of
 * the cell is the default for a single one.
 */

export type AddedLatency = {
  /** Moving average of the additional time compared with an idle engine, milliseconds. */
  addedMs: number;
  samples: number;
  updatedMs: number;
};

/** Weight of a new sample; a burst shows after three to four requests. */
const SAMPLE_WEIGHT = 0.25;
/** Time in which a sample decays to 1/e, ms; short because the latency changes with the load. */
const DECAY_TIME_MS = 2000;

/** Creates the estimate of engines without samples. */
export function createAddedLatency(): AddedLatency {
  return { addedMs: 0, samples: 0, updatedMs: 0 };
}

/** Records the additional time of one first event compared with an idle engine, milliseconds. */
export function recordAddedLatency(latency: AddedLatency, addedMs: number, now: number): void {
  const recent = estimateAddedLatencyMs(latency, now);
  latency.samples += 1;
  latency.updatedMs = now;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / latency.samples);
  latency.addedMs = recent + weight * (Math.max(addedMs, 0) - recent);
}

/**
 * Estimates the additional time to the first event compared with an idle engine, milliseconds.
 *
 * @param defaultMs estimate to which old samples decay, and that is used without samples
 */
export function estimateAddedLatencyMs(latency: AddedLatency, now: number, defaultMs = 0): number {
  if (latency.samples === 0) {
    return defaultMs;
  }
  const decay = Math.exp(-Math.max(now - latency.updatedMs, 0) / DECAY_TIME_MS);
  return defaultMs + decay * (latency.addedMs - defaultMs);
}
