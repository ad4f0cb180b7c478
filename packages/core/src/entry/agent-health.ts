/**
 * Health of a backend server as this entry observes it: relative latency and
 * failures.
 *
 * Latencies are compared with the median of the peers. Engines differ in speed,
 * so a backend server is ejected as slow only if it has also become slower than
 * it used to be. One that fails several times in a row is ejected too. An
 * ejection is limited in time and followed by a slow start.
 */

/** Ratio of measured to expected durations, as a recent and a long-term moving average. */
type LatencyRatio = { recent: number; longTerm: number; samples: number; updatedMs: number };

/** The part of a request that a duration covers. */
export enum Stage {
  FIRST_BYTE = 'firstByte',
  COMPLETION = 'completion',
}

export type AgentHealth = {
  ratios: Record<Stage, LatencyRatio>;
  consecutiveFailures: number;
  ejections: number;
  /** End of the ejection, milliseconds since the Unix epoch; 0 if never ejected. */
  ejectedUntilMs: number;
};

export enum EjectionCause {
  FAILING = 'failing',
  SLOW = 'slow',
}

const STAGES = [Stage.FIRST_BYTE, Stage.COMPLETION];

const RECENT_WEIGHT = 0.15;
const LONG_TERM_WEIGHT = 0.02;
/** Time constant with which an old ratio decays towards the median, milliseconds. */
const RATIO_DECAY_MS = 30_000;
/** Number of samples before a ratio is compared. */
const MIN_SAMPLES = 8;
/** Minimum number of measured backend servers, the candidate included, for a median. */
const MIN_PEERS = 3;

const MAX_PEER_SLOWDOWN = 4;
const MAX_OWN_SLOWDOWN = 2;
const CONSECUTIVE_FAILURES_LIMIT = 3;

const BASE_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
const SLOW_START_MS = 10_000;
const MIN_TRAFFIC_SHARE = 0.1;
/** Maximum share of a service's linked backend servers that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.34;

/** Creates a ratio without samples. */
function createLatencyRatio(): LatencyRatio {
  return { recent: 0, longTerm: 0, samples: 0, updatedMs: 0 };
}

/** Creates the health of a backend server without any observations. */
export function createAgentHealth(): AgentHealth {
  return {
    ratios: { [Stage.FIRST_BYTE]: createLatencyRatio(), [Stage.COMPLETION]: createLatencyRatio() },
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
  };
}

/**
 * Records how long a started request took.
 *
 * @param ratio the measured duration divided by the expected one
 */
export function recordRatio(health: AgentHealth, stage: Stage, ratio: number, now: number): void {
  const average = health.ratios[stage];
  average.samples += 1;
  average.updatedMs = now;
  const firstWeight = average.samples <= MIN_SAMPLES ? 1 / average.samples : 0;
  average.recent += Math.max(RECENT_WEIGHT, firstWeight) * (ratio - average.recent);
  average.longTerm += Math.max(LONG_TERM_WEIGHT, firstWeight) * (ratio - average.longTerm);
}

/** Records that a request completed. */
export function recordSuccess(health: AgentHealth): void {
  health.consecutiveFailures = 0;
}

/** Records a failure of the backend server. */
export function recordFailure(health: AgentHealth): void {
  health.consecutiveFailures += 1;
}

/** Returns the median ratio of a stage; 0 if too few peers have one. */
export function findMedianRatio(peers: readonly AgentHealth[], stage: Stage): number {
  const measured = peers.map((peer) => peer.ratios[stage]).filter(isMeasured);
  if (measured.length < MIN_PEERS) {
    return 0;
  }
  const ratios = measured.map((average) => average.recent).sort((a, b) => a - b);
  return ratios[Math.floor((ratios.length - 1) / 2)];
}

/**
 * Estimates the duration of a request relative to the expected one.
 *
 * A backend server that was slow gets less work, so it shows no new durations.
 * Its old ratio decays towards the median, so that it is tried again.
 */
export function estimateRatio(health: AgentHealth, median: number, now: number): number {
  const average = health.ratios[Stage.COMPLETION];
  if (median === 0 || !isMeasured(average)) {
    return median || 1;
  }
  const weight = Math.exp(-Math.max(now - average.updatedMs, 0) / RATIO_DECAY_MS);
  return median + weight * (average.recent - median);
}

/**
 * Computes how much slower than the median of its peers a backend server is in a
 * stage; at least 1.
 */
function computeStageSlowness(
  health: AgentHealth,
  peers: readonly AgentHealth[],
  stage: Stage,
): number {
  const median = findMedianRatio(peers, stage);
  return median > 0 && isMeasured(health.ratios[stage])
    ? Math.max(health.ratios[stage].recent / median, 1)
    : 1;
}

/** Whether a ratio has enough samples to be compared. */
function isMeasured(average: LatencyRatio): boolean {
  return average.samples >= MIN_SAMPLES;
}

/** Whether a stage is much slower than at the peers, and than it used to be. */
function isSlow(health: AgentHealth, peers: readonly AgentHealth[], stage: Stage): boolean {
  const { recent, longTerm } = health.ratios[stage];
  const versusPeers = computeStageSlowness(health, peers, stage);
  return versusPeers > MAX_PEER_SLOWDOWN && recent > MAX_OWN_SLOWDOWN * longTerm;
}

/** Whether a backend server gets no new work for now. */
export function isEjected(health: AgentHealth, now: number): boolean {
  return now < health.ejectedUntilMs;
}

/**
 * Computes the share of the normal traffic that a backend server may get; it
 * grows after an ejection.
 */
export function computeTrafficShare(health: AgentHealth, now: number): number {
  if (health.ejectedUntilMs === 0) {
    return 1;
  }
  const ramp = (now - health.ejectedUntilMs) / SLOW_START_MS;
  return Math.min(Math.max(ramp, MIN_TRAFFIC_SHARE), 1);
}

/** Returns why a backend server should be ejected; undefined if there is no reason. */
function findEjectionCause(
  health: AgentHealth,
  peers: readonly AgentHealth[],
): EjectionCause | undefined {
  if (health.consecutiveFailures >= CONSECUTIVE_FAILURES_LIMIT) {
    return EjectionCause.FAILING;
  }
  const slow = STAGES.some((stage) => isSlow(health, peers, stage));
  return slow ? EjectionCause.SLOW : undefined;
}

/**
 * Ejects a backend server that fails or has become slow.
 *
 * If most of a pool is slow, the cause is load. Ejecting would move that load to
 * the others until they fail too, so the cap keeps most of the pool in use.
 *
 * @param peers the linked backend servers of the service, this one included
 */
export function ejectOutlier(
  health: AgentHealth,
  peers: readonly AgentHealth[],
  now: number,
): EjectionCause | undefined {
  const cause = findEjectionCause(health, peers);
  const ejected = peers.filter((peer) => isEjected(peer, now)).length;
  const capped = ejected + 1 > Math.floor(peers.length * MAX_EJECTED_SHARE);
  if (cause === undefined || isEjected(health, now) || capped) {
    return undefined;
  }
  const ejectionMs = Math.min(BASE_EJECTION_MS * 2 ** health.ejections, MAX_EJECTION_MS);
  const ejections = health.ejections + 1;
  Object.assign(health, createAgentHealth(), { ejections, ejectedUntilMs: now + ejectionMs });
  return cause;
}
