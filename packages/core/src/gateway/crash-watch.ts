/**
 * Content that crashes backend servers, and when it is turned away.
 *
 * A request whose content crashes an engine comes again: by its caller, or by a
 * repeat of ours. Each time it takes a backend server down with all that runs
 * there. When a backend server crashes, the content of every request that broke
 * off there becomes suspect; content that was there at two crashes in a row is
 * refused. An answer that comes whole clears its content, so that what many
 * callers ask for is not refused for having been near a crash. Gateways tell each
 * other of suspects, as a caller comes back through another one.
 */
import * as suspects from '../shared/suspects.js';
import type * as configurationLease from './configuration-lease.js';
import type * as gatewayState from './gateway-state.js';

/** A request that broke off at a backend server that may have crashed. */
export type BrokenRun = { contentDigest: string; atMs: number };

/**
 * A backend server that cannot be reached, or whose entry changes, within this time
 * after requests broke off there has crashed, milliseconds. Entries of dead ones
 * lapse after some seconds; connections to them are refused at once.
 */
const CONFIRM_MS = 5000;
/**
 * Crashes closer than this count as one, milliseconds. Several backend servers may
 * lose power at once; a caller needs longer to come back.
 */
const SAME_CRASH_MS = 1000;

/** Notes that a request broke off at a backend server that was not leaving. */
export function noteBrokenRun(
  state: gatewayState.GatewayState,
  serverId: string,
  contentDigest: string,
  now: number,
): void {
  if (state.servers.byId.get(serverId)?.entry.leaving === true) {
    return;
  }
  const recent = state.brokenRuns.get(serverId) ?? [];
  const kept = recent.filter(({ atMs }) => now - atMs <= CONFIRM_MS);
  state.brokenRuns.set(serverId, [...kept, { contentDigest, atMs: now }]);
}

/** Tells whether a crash of some content was counted just before. */
function isCounted(
  state: gatewayState.GatewayState,
  contentDigest: string,
  wallMs: number,
): boolean {
  const known = state.suspects.byDigest.get(contentDigest);
  return known !== undefined && wallMs - known.lastCrashMs < SAME_CRASH_MS;
}

/** Takes in that a backend server has crashed; gives the content that was there. */
export function applyCrash(
  state: gatewayState.GatewayState,
  serverId: string,
  { steadyMs, wallMs }: configurationLease.ClockReading,
): string[] {
  const recent = state.brokenRuns.get(serverId) ?? [];
  state.brokenRuns.delete(serverId);
  const there = recent
    .filter(({ atMs }) => steadyMs - atMs <= CONFIRM_MS)
    .map(({ contentDigest }) => contentDigest);
  const counted = [...new Set(there)].filter((digest) => !isCounted(state, digest, wallMs));
  counted.forEach((digest) => suspects.recordCrash(state.suspects, digest, true, wallMs));
  return counted;
}

/** Takes in that content was answered whole: it is no suspect any more. */
export function noteCompleteResponse(
  state: gatewayState.GatewayState,
  hashContent: () => string,
  { wallMs }: configurationLease.ClockReading,
): void {
  if (state.suspects.byDigest.size > 0) {
    suspects.clearSuspect(state.suspects, hashContent(), wallMs);
  }
}

/** Tells whether content is turned away. */
export function isContentRefused(
  state: gatewayState.GatewayState,
  hashContent: () => string,
): boolean {
  return state.suspects.byDigest.size > 0 && suspects.isBlocked(state.suspects, hashContent());
}
