/**
 * Expected duration of a request by class and cost, over all backend servers.
 *
 * The durations of one backend server are compared with these, not directly with
 * those of another. Response lengths differ by a factor of a hundred, so a
 * backend server that happened to get the long requests would look slow.
 */

type Duration = { ms: number; samples: number };

/** Averages by stage, class and approximate cost. */
export type DurationModel = Map<string, Duration>;

/** Weight of one duration once the average has settled. */
const SETTLED_WEIGHT = 0.02;
/** Number of durations before the average is used. */
const MIN_SAMPLES = 5;

/** Builds the key of requests of one class with similar cost. */
function toClassKey(stage: string, className: string, tokens: number): string {
  return `${stage} ${className} ${Math.floor(Math.log2(Math.max(tokens, 1)))}`;
}

/** Returns the expected duration, milliseconds; 0 while there are too few samples. */
export function estimateDuration(
  model: DurationModel,
  stage: string,
  className: string,
  tokens: number,
): number {
  const known = model.get(toClassKey(stage, className, tokens));
  return known !== undefined && known.samples >= MIN_SAMPLES ? known.ms : 0;
}

/** Records the duration of one request. */
export function recordDuration(
  model: DurationModel,
  stage: string,
  className: string,
  tokens: number,
  ms: number,
): void {
  const kind = toClassKey(stage, className, tokens);
  const known = model.get(kind) ?? { ms: 0, samples: 0 };
  known.samples += 1;
  known.ms += Math.max(1 / known.samples, SETTLED_WEIGHT) * (ms - known.ms);
  model.set(kind, known);
}
