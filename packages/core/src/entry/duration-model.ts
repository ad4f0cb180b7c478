/**
 * How long requests of a kind usually take, over all backend servers.
 *
 * A backend server's times are compared with these and not with each other:
 * lengths differ a hundredfold, and one that happened to get the long requests
 * would look slow.
 */

type Duration = { ms: number; samples: number };

/** Averages by kind of request. */
export type DurationModel = Map<string, Duration>;

/** Weight of one time once the average has settled. */
const SETTLED_WEIGHT = 0.02;
/** Times before the average is trusted. */
const MIN_SAMPLES = 5;

/** Builds the key of requests of one class and about the same cost. */
function toClassKey(stage: string, className: string, tokens: number): string {
  return `${stage} ${className} ${Math.floor(Math.log2(Math.max(tokens, 1)))}`;
}

/** Gets the usual time, milliseconds; 0 while too little is known. */
export function estimateDuration(
  model: DurationModel,
  stage: string,
  className: string,
  tokens: number,
): number {
  const known = model.get(toClassKey(stage, className, tokens));
  return known !== undefined && known.samples >= MIN_SAMPLES ? known.ms : 0;
}

/** Takes in the time of one request. */
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
