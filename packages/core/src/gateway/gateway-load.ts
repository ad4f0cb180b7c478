/**
 * Decides what a gateway does whose event loop stalls or that gets more requests than it can send
 * on.
 *
 * The load: a gateway with a fraction of a core, at its start, on a burst of configurations, or in
 * bursts of 1.5 to 2.5 times the usual requests. It reads requests late. Some of their callers have
 * left by then, and the others have less time left than their headers state. If it admitted all
 * requests, all of them would be late, the most urgent ones too.
 *
 * In an overload, the gateway admits a share of its requests, the most urgent ones first. The share
 * follows the delay of the event loop, the duration of its most recent turns. A single long turn,
 * such as one that applies a configuration, changes nothing.
 */
import * as schema from '@toucanproxy/schema';
import * as decayingCount from '../shared/decaying-count.js';
import * as refusal from './refusal.js';

/** Recent requests of one urgency, and the shortest target among their routes. */
type ArrivedTier = { arrivals: decayingCount.DecayingCount; targetMs: number };

export type GatewayLoad = {
  /** Duration of the most recent turn of the event loop, milliseconds. */
  delayMs: number;
  /** Durations of the most recent turns since the last change of the share, the latest one last. */
  recentDelays: number[];
  /** Share of the arriving requests that is admitted, the most urgent ones first; 1 means all. */
  admittedShare: number;
  /** When the share last changed, and when it was last reduced from 1, milliseconds. */
  changedMs: number;
  beganMs: number;
  /** When the first request arrived, milliseconds. */
  firstArrivalMs: number | undefined;
  /** By urgency. */
  tiers: Map<number, ArrivedTier>;
  /** Share of the time or of the processor time that was used, 0 to 1, averaged over seconds. */
  utilization: number;
  /** The process has been busy nearly all the time for seconds. */
  isSaturated: boolean;
};

/** A change between normal operation and an overload. */
export type LoadChange = 'overloaded' | 'recovered';

/**
 * Shortest stall that is taken into account, milliseconds. Shorter ones are part of normal
 * operation on a fraction of a core, and well below any target.
 */
const MIN_STALL_MS = 50;
/**
 * Callers abandon an idempotent request that is not read for this time, milliseconds, or for this
 * share of their time if that is shorter.
 */
const ABANDON_MS = 1000;
const ABANDON_SHARE = 1 / 3;
/**
 * Number of turns that must all be long before an overload begins. One turn is long at each stall,
 * and the next one where many requests have arrived meanwhile.
 */
const TURNS = 3;
/** Number of turns that must all be long, or all be short, before the share changes again. */
const LATER_TURNS = 2;
/**
 * Turns are too long from this share of the shortest target: a request waits for one turn until it
 * is read, for another one until it is sent, and its response waits for a third one.
 */
const HIGH_DELAY_SHARE = 1 / 3;
/** Turns are short below this share of the shortest target. */
const LOW_DELAY_SHARE = 1 / 6;
/** The share is reduced at most to this part of its value at a time, and never below the minimum. */
const MAX_REDUCTION = 1 / 2;
/** Some requests are always admitted, because without any, nothing shows that the load has gone. */
const MIN_SHARE = 0.1;
/** The share grows by this amount at a time. */
const SHARE_STEP = 0.1;
/** Time between increases of the share, milliseconds. */
const STEP_MS = 200;
/**
 * The same while turns are neither long nor short, milliseconds. A gateway that uses all of its
 * processor time has such turns without an overload, and would otherwise refuse requests for good.
 */
const PROBE_STEP_MS = 3000;
/**
 * No request is refused for this time after the first one, milliseconds. The turns of a process
 * that has just started are long until its code has been compiled.
 */
const START_MS = 1500;
/** Longest expected recovery time, milliseconds: a third of the deadline of long requests. */
const MAX_RECOVERY_MS = 5000;
/** Time over which arrivals are counted, milliseconds. */
const ARRIVALS_TAU_MS = 2000;
/** Urgencies with fewer recent arrivals than this are forgotten. */
const MIN_ARRIVALS = 0.05;

/** Time over which the utilization is averaged, milliseconds. */
const UTILIZATION_TAU_MS = 2000;
/** Utilization from which a gateway is saturated, and below which it is so no longer. */
const SATURATED_UTILIZATION = 0.9;
const UNSATURATED_UTILIZATION = 0.7;
/** The load that a saturated gateway reports. */
const SATURATED_PERCENT = 100;

/** Creates the load of a gateway that has just started. */
export function createGatewayLoad(): GatewayLoad {
  return {
    delayMs: 0,
    recentDelays: [],
    admittedShare: 1,
    changedMs: -Infinity,
    beganMs: -Infinity,
    firstArrivalMs: undefined,
    tiers: new Map(),
    utilization: 0,
    isSaturated: false,
  };
}

/**
 * Records the share of the last `elapsedMs` milliseconds in which the process was busy. Returns
 * whether the gateway has become saturated, or is so no longer.
 */
export function noteUtilization(load: GatewayLoad, share: number, elapsedMs: number): boolean {
  const weight = 1 - Math.exp(-elapsedMs / UTILIZATION_TAU_MS);
  load.utilization += weight * (share - load.utilization);
  const wasSaturated = load.isSaturated;
  load.isSaturated =
    load.utilization >= (wasSaturated ? UNSATURATED_UTILIZATION : SATURATED_UTILIZATION);
  return load.isSaturated !== wasSaturated;
}

/**
 * Computes the load that a gateway reports to the others: 100 as long as it counts as saturated,
 * and less otherwise. The sender alone applies the hysteresis, because gateways that miss some
 * reports would otherwise choose different schedulers.
 */
export function computeLoadPercent({ utilization, isSaturated }: GatewayLoad): number {
  return isSaturated
    ? SATURATED_PERCENT
    : Math.min(Math.round(utilization * SATURATED_PERCENT), SATURATED_PERCENT - 1);
}

/** Returns whether the reported load means that a gateway is saturated. */
export function isSaturatedPercent(loadPercent: number): boolean {
  return loadPercent >= SATURATED_PERCENT;
}

/** Computes how long data may have waited to be read, from the delay of the event loop. */
export function computeUnreadMs(delayMs: number): number {
  return delayMs < MIN_STALL_MS ? 0 : delayMs;
}

/**
 * Computes the time for which a request counts as having waited to be read, milliseconds, from the
 * longest time that is possible. The connection of its caller is still open, so an idempotent
 * request has not waited for longer than its caller would. A caller does not know the timeout of its
 * route, which may be over by then.
 *
 * @param callerMs how long the caller waits for the response, milliseconds
 */
export function computeWaitedMs(unreadMs: number, callerMs: number, isIdempotent: boolean): number {
  return isIdempotent ? Math.min(unreadMs, ABANDON_MS, callerMs * ABANDON_SHARE) : unreadMs;
}

/** Lists the urgencies of recent requests, the most urgent first, and forgets those without any. */
function listTiers(
  load: GatewayLoad,
  now: number,
): { urgency: number; targetMs: number; arrivals: number }[] {
  const all = [...load.tiers].map(([urgency, { arrivals, targetMs }]) => ({
    urgency,
    targetMs,
    arrivals: decayingCount.getCount(arrivals, now, ARRIVALS_TAU_MS),
  }));
  all
    .filter(({ arrivals }) => arrivals < MIN_ARRIVALS)
    .forEach(({ urgency }) => load.tiers.delete(urgency));
  return all
    .filter(({ arrivals }) => arrivals >= MIN_ARRIVALS)
    .sort((left, right) => left.urgency - right.urgency);
}

/** Sets the share of requests that is admitted. */
function setShare(load: GatewayLoad, share: number, now: number): LoadChange | undefined {
  const before = load.admittedShare;
  load.admittedShare = Math.min(Math.max(share, MIN_SHARE), 1);
  load.changedMs = now;
  load.recentDelays = [];
  if (before === 1) {
    load.beganMs = now;
    return 'overloaded';
  }
  return load.admittedShare === 1 ? 'recovered' : undefined;
}

/**
 * Records the duration of a turn of the event loop, milliseconds, and changes the share of admitted
 * requests if several turns in succession were too long or short. Returns whether an overload has
 * begun or ended.
 */
export function noteDelay(load: GatewayLoad, delayMs: number, now: number): LoadChange | undefined {
  load.delayMs = delayMs;
  const turns = load.admittedShare < 1 ? LATER_TURNS : TURNS;
  load.recentDelays = [...load.recentDelays, delayMs].slice(-turns);
  if (load.recentDelays.length < turns || load.firstArrivalMs === undefined) {
    return undefined;
  }
  const longestMs = Math.max(...load.recentDelays);
  if (longestMs < MIN_STALL_MS / 2 && load.admittedShare === 1) {
    return undefined;
  }
  const targets = listTiers(load, now).map((tier) => tier.targetMs);
  const targetMs = Math.min(...targets.filter((target) => target > 0));
  const highMs = Math.max(targetMs * HIGH_DELAY_SHARE, MIN_STALL_MS);
  const shortestMs = Math.min(...load.recentDelays);
  if (shortestMs > highMs && now - load.firstArrivalMs >= START_MS) {
    const reduction = Math.max(highMs / shortestMs, MAX_REDUCTION);
    return setShare(load, load.admittedShare * reduction, now);
  }
  const isShort = longestMs < Math.max(targetMs * LOW_DELAY_SHARE, MIN_STALL_MS / 2);
  const stepMs = isShort ? STEP_MS : PROBE_STEP_MS;
  return load.admittedShare < 1 && shortestMs <= highMs && now - load.changedMs >= stepMs
    ? setShare(load, load.admittedShare + SHARE_STEP, now)
    : undefined;
}

/** Records the arrival of a request. */
function noteArrival(load: GatewayLoad, urgency: number, targetMs: number, now: number): void {
  load.firstArrivalMs ??= now;
  const tier = load.tiers.get(urgency) ?? {
    arrivals: decayingCount.createDecayingCount(),
    targetMs,
  };
  load.tiers.set(urgency, tier);
  tier.targetMs = Math.min(tier.targetMs, targetMs);
  decayingCount.addCount(tier.arrivals, 1, now, ARRIVALS_TAU_MS);
}

/** Computes the share of the requests of an urgency that is admitted. */
function computeTierShare(load: GatewayLoad, urgency: number, now: number): number {
  const tiers = listTiers(load, now);
  const all = tiers.reduce((sum, { arrivals }) => sum + arrivals, 0);
  const ahead = tiers
    .filter((tier) => tier.urgency < urgency)
    .reduce((sum, { arrivals }) => sum + arrivals, 0);
  const own = tiers.find((tier) => tier.urgency === urgency)?.arrivals ?? 0;
  return (load.admittedShare * all - ahead) / own;
}

/**
 * Estimates the time until all requests are admitted again, milliseconds. The length of a burst is
 * not known in advance, so it is expected to continue for as long as it has already lasted.
 */
function estimateRecoveryMs({ admittedShare, beganMs }: GatewayLoad, now: number): number {
  const steps = Math.ceil((1 - admittedShare) / SHARE_STEP);
  return Math.min(Math.max(steps * STEP_MS, now - beganMs), MAX_RECOVERY_MS);
}

/**
 * Decides whether an arriving request is refused because this gateway is overloaded. Retries are
 * spread from one to two times the expected recovery time.
 */
export function findOverloadRefusal(
  load: GatewayLoad,
  { urgency, targetMs }: { urgency: number; targetMs: number },
  drawRandom: () => number,
  now: number,
): refusal.Refusal | undefined {
  noteArrival(load, urgency, targetMs, now);
  if (load.admittedShare === 1 || drawRandom() < computeTierShare(load, urgency, now)) {
    return undefined;
  }
  const retryAfterMs = estimateRecoveryMs(load, now) * (1 + drawRandom());
  return refusal.buildRefusal(schema.ResultCode.GATEWAY_OVERLOADED, retryAfterMs);
}
