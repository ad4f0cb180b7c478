/** Why a request gets no answer of a backend server, and what its caller is told. */
import * as schema from '@toucanproxy/schema';
import type * as tokenQuota from './token-quota.js';

export type Refusal = {
  code: schema.ResultCode;
  /** When the caller should come back, milliseconds; undefined where it should not. */
  retryAfterMs: number | undefined;
  /** What a quota was decided from, where it is spent; for the log. */
  quota?: tokenQuota.QuotaReading;
};

/** Shortest advice, milliseconds: a caller comes back over a new connection. */
const MIN_RETRY_AFTER_MS = 50;
/** Advice to a caller whose gateway cannot serve it while others may, milliseconds. */
export const ELSEWHERE_RETRY_AFTER_MS = 100;

/** Builds a refusal. */
export function buildRefusal(code: schema.ResultCode, retryAfterMs?: number): Refusal {
  const advised = retryAfterMs === undefined || !Number.isFinite(retryAfterMs);
  return {
    code,
    retryAfterMs: advised ? undefined : Math.max(Math.round(retryAfterMs), MIN_RETRY_AFTER_MS),
  };
}
