/** Default values for the timing and limits of a service document. */
import * as documentPb from './generated/toucanproxy/v1/document_pb.js';

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;

/** All values in milliseconds. */
export const DEFAULT_TIMING = {
  defaultDeadlineMs: 2 * MINUTE_MS,
  maxDeadlineMs: 10 * MINUTE_MS,
  keyWindowMs: 15 * MINUTE_MS,
  clockSkewMs: 2 * SECOND_MS,
  heartbeatIntervalMs: 500,
  heartbeatTimeoutMs: 2 * SECOND_MS,
};

export const DEFAULT_LIMITS = {
  maxBodyBytes: 8 * 1024 * 1024,
  maxWaiting: 1000,
  maxRequestsPerWorkspace: 500,
  maxQueued: 64,
  maxRunning: 16,
  maxRunningTokens: 65_536,
  urgentHeadroomPercent: 10,
  retryBudgetPercent: 10,
};

export type EffectiveTiming = typeof DEFAULT_TIMING;
export type EffectiveLimits = typeof DEFAULT_LIMITS;

/** Replaces each field that is zero or missing by its default. */
function applyDefaults<T extends Record<string, number>>(
  given: Partial<Record<keyof T, unknown>> | undefined,
  defaults: T,
): T {
  const entries = Object.entries(defaults).map(([name, value]) => {
    const set = given?.[name as keyof T];
    return [name, typeof set === 'number' && set > 0 ? set : value];
  });
  return Object.fromEntries(entries) as T;
}

/** Returns the timing of a document, with defaults for what it leaves out. */
export function getTiming(document: documentPb.ServiceDocument | undefined): EffectiveTiming {
  return applyDefaults(document?.timing, DEFAULT_TIMING);
}

/** Returns the limits of a document, with defaults for what it leaves out. */
export function getLimits(document: documentPb.ServiceDocument | undefined): EffectiveLimits {
  return applyDefaults(document?.limits, DEFAULT_LIMITS);
}
