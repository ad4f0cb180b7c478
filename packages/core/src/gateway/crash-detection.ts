/**
 * Identifies request content that crashes backend servers and decides when it is refused.
 *
 * A request whose content crashes an engine is retried, by its caller or by a gateway. Each
 * attempt crashes a backend server and fails all other requests there. When a backend server
 * crashes, the content of every request whose connection broke there becomes a suspect. Content
 * that was present at two crashes in a row is refused. A complete response clears its content, so
 * that frequently requested content is not refused after unrelated crashes. Gateways share their
 * suspects, because a caller may retry through another gateway.
 */
import * as suspects from '../shared/suspects.js';
import type * as configurationLease from './configuration-lease.js';
import type * as gatewayState from './gateway-state.js';

/** A request whose connection broke, perhaps because its backend server crashed. */
export type BrokenRun = { contentDigest: string; atMs: number };

/**
 * A backend server is regarded as crashed if it becomes unreachable, or if its store entry changes,
 * within this time after connections broke there, milliseconds. The store entry of a dead server
 * expires after some seconds; connections to it are refused immediately.
 */
const CONFIRM_MS = 5000;
/**
 * Crashes less than this time apart count as one, milliseconds. Several backend servers may lose
 * power at the same time, whereas a caller takes longer to retry.
 */
const SAME_CRASH_MS = 1000;

/** Records that a request's connection broke, unless its backend server was leaving. */
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

/** Returns whether a crash has just been counted for this content. */
function isRecentlyCounted(
  state: gatewayState.GatewayState,
  contentDigest: string,
  wallMs: number,
): boolean {
  const known = state.suspects.byDigest.get(contentDigest);
  return known !== undefined && wallMs - known.lastCrashMs < SAME_CRASH_MS;
}

/**
 * Counts the crash of a backend server against the content of requests whose connections broke
 * there, and returns the digests for which the crash was counted.
 */
export function applyCrash(
  state: gatewayState.GatewayState,
  serverId: string,
  { steadyMs, wallMs }: configurationLease.ClockReading,
): string[] {
  const recent = state.brokenRuns.get(serverId) ?? [];
  state.brokenRuns.delete(serverId);
  const digests = recent
    .filter(({ atMs }) => steadyMs - atMs <= CONFIRM_MS)
    .map(({ contentDigest }) => contentDigest);
  const counted = [...new Set(digests)].filter(
    (digest) => !isRecentlyCounted(state, digest, wallMs),
  );
  counted.forEach((digest) => suspects.recordCrash(state.suspects, digest, true, wallMs));
  return counted;
}

/** Clears content whose response was complete; returns whether it was a suspect before. */
export function noteCompleteResponse(
  state: gatewayState.GatewayState,
  hashContent: () => string,
  { wallMs }: configurationLease.ClockReading,
): boolean {
  return (
    state.suspects.byDigest.size > 0 &&
    suspects.clearSuspect(state.suspects, hashContent(), wallMs)
  );
}

/** Returns whether content is refused because of earlier crashes. */
export function isContentRefused(
  state: gatewayState.GatewayState,
  hashContent: () => string,
): boolean {
  return state.suspects.byDigest.size > 0 && suspects.isBlocked(state.suspects, hashContent());
}
