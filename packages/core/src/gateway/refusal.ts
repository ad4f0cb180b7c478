/** Refusals: result code and retry delay for a request that gets no backend server's response. */
import * as schema from '@toucanproxy/schema';
import type * as tokenQuota from './token-quota.js';

export type Refusal = {
  code: schema.ResultCode;
  /** Time after which the caller should retry, milliseconds; undefined if it should not. */
  retryAfterMs: number | undefined;
  /** The quota state that the decision was based on, if the quota is spent; for the log. */
  quota?: tokenQuota.QuotaSnapshot;
  /** The part of the prompt that is refused, if it is for one; for the log. */
  part?: string;
};

/** Minimum retry delay, milliseconds; a caller that retries opens a new connection. */
const MIN_RETRY_AFTER_MS = 50;
/** Retry delay for a caller that another gateway may be able to serve, milliseconds. */
export const OTHER_GATEWAY_RETRY_AFTER_MS = 100;

/** Builds a refusal; a delay that is not finite means that the caller should not retry. */
export function buildRefusal(code: schema.ResultCode, retryAfterMs?: number): Refusal {
  const isWithoutAdvice = retryAfterMs === undefined || !Number.isFinite(retryAfterMs);
  return {
    code,
    retryAfterMs: isWithoutAdvice
      ? undefined
      : Math.max(Math.round(retryAfterMs), MIN_RETRY_AFTER_MS),
  };
}
