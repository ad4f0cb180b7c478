/**
 * What this entry itself sees of a backend server's speed and failures.
 *
 * Speeds are compared with the median of the peers; because engines are unlike,
 * a backend server is ejected as slow only where it has also become slower than
 * it was. One that fails several times in a row is ejected too. An ejection is
 * bounded in time and followed by a slow start.
 */

/** Times against the longTerm ones of their kinds, recent and long-run. */
type LatencyRatio = { recent: number; longTerm: number; samples: number; updatedMs: number };

/** What a pace is measured over. */
export enum Stage {
  FIRST_BYTE = 'firstByte',
  COMPLETION = 'completion',
}

export type AgentHealth = {
  ratios: Record<Stage, LatencyRatio>;
  consecutiveFailures: number;
  ejections: number;
  /** Ejected until this time, milliseconds since the Unix epoch; 0 if never. */
  ejectedUntilMs: number;
};

export enum EjectionCause {
  FAILING = 'failing',
  SLOW = 'slow',
}

const STAGES = [Stage.FIRST_BYTE, Stage.COMPLETION];

const RECENT_WEIGHT = 0.15;
const LONG_TERM_WEIGHT = 0.02;
/** Time in which what was seen of a pace fades to 1/e, milliseconds. */
const RATIO_DECAY_MS = 30_000;
/** Samples before a speed is compared. */
const MIN_SAMPLES = 8;
/** Peers with a speed, the candidate itself included, that make a median. */
const MIN_PEERS = 3;

const MAX_PEER_SLOWDOWN = 4;
const MAX_OWN_SLOWDOWN = 2;
const CONSECUTIVE_FAILURES_LIMIT = 3;

const EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
const SLOW_START_MS = 10_000;
const MIN_TRAFFIC_SHARE = 0.1;
/** Largest part of a service's linked backend servers that is ejected at once. */
const MAX_EJECTED_SHARE = 0.34;

/** Creates a pace of which nothing is known. */
function createLatencyRatio(): LatencyRatio {
  return { recent: 0, longTerm: 0, samples: 0, updatedMs: 0 };
}

/** Creates the health of a backend server of which nothing is known. */
export function createAgentHealth(): AgentHealth {
  return {
    ratios: { [Stage.FIRST_BYTE]: createLatencyRatio(), [Stage.COMPLETION]: createLatencyRatio() },
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
  };
}

/**
 * Takes in how long a started request took.
 *
 * @param ratio the time against the longTerm one of its kind
 */
export function recordRatio(health: AgentHealth, stage: Stage, ratio: number, now: number): void {
  const pace = health.ratios[stage];
  pace.samples += 1;
  pace.updatedMs = now;
  const firstWeight = pace.samples <= MIN_SAMPLES ? 1 / pace.samples : 0;
  pace.recent += Math.max(RECENT_WEIGHT, firstWeight) * (ratio - pace.recent);
  pace.longTerm += Math.max(LONG_TERM_WEIGHT, firstWeight) * (ratio - pace.longTerm);
}

/** Takes in that a request ended well. */
export function recordSuccess(health: AgentHealth): void {
  health.consecutiveFailures = 0;
}

/** Takes in a failure of the backend server. */
export function recordFailure(health: AgentHealth): void {
  health.consecutiveFailures += 1;
}

/** Finds the median pace of a stage; 0 where too few peers have one. */
export function findMedianRatio(peers: readonly AgentHealth[], stage: Stage): number {
  const measured = peers.map((peer) => peer.ratios[stage]).filter(isMeasured);
  if (measured.length < MIN_PEERS) {
    return 0;
  }
  const ratios = measured.map((pace) => pace.recent).sort((a, b) => a - b);
  return ratios[Math.floor((ratios.length - 1) / 2)];
}

/**
 * Estimates the time of a request against the longTerm one of its kind.
 *
 * One that was slow gets less work and shows no new times. So that it is tried
 * again, what was seen of it fades towards the median.
 */
export function estimateRatio(health: AgentHealth, median: number, now: number): number {
  const pace = health.ratios[Stage.COMPLETION];
  if (median === 0 || !isMeasured(pace)) {
    return median || 1;
  }
  const kept = Math.exp(-Math.max(now - pace.updatedMs, 0) / RATIO_DECAY_MS);
  return median + kept * (pace.recent - median);
}

/** Computes how much slower than the median of its peers one is in a stage; 1 at least. */
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

/** Tells whether enough is known of a pace to compare it. */
function isMeasured(pace: LatencyRatio): boolean {
  return pace.samples >= MIN_SAMPLES;
}

/** Tells whether a stage is far slower than at the peers, and than it used to be. */
function isSlow(health: AgentHealth, peers: readonly AgentHealth[], stage: Stage): boolean {
  const { recent, longTerm } = health.ratios[stage];
  const versusPeers = computeStageSlowness(health, peers, stage);
  return versusPeers > MAX_PEER_SLOWDOWN && recent > MAX_OWN_SLOWDOWN * longTerm;
}

/** Tells whether a backend server gets no new work for now. */
export function isEjected(health: AgentHealth, now: number): boolean {
  return now < health.ejectedUntilMs;
}

/** Computes the share of its longTerm traffic that it may get, growing after an ejection. */
export function computeTrafficShare(health: AgentHealth, now: number): number {
  if (health.ejectedUntilMs === 0) {
    return 1;
  }
  const grown = (now - health.ejectedUntilMs) / SLOW_START_MS;
  return Math.min(Math.max(grown, MIN_TRAFFIC_SHARE), 1);
}

/** Finds why a backend server should be ejected. */
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
 * When most of a pool is slow the cause is load, and ejecting would move that
 * load onto the rest until they fail too; the cap keeps the greater part in use.
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
  const pauseMs = Math.min(EJECTION_MS * 2 ** health.ejections, MAX_EJECTION_MS);
  const ejections = health.ejections + 1;
  Object.assign(health, createAgentHealth(), { ejections, ejectedUntilMs: now + pauseMs });
  return cause;
}
