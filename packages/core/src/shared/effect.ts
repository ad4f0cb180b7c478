/** Effects that the entry core and the agent core request from their daemons. */
import * as schema from '@toucanproxy/schema';

/** Writes a log line; `event` names the decision. */
export type LogEffect = {
  kind: 'log';
  level: schema.LogLevel;
  event: string;
  fields: Record<string, unknown>;
};

/** Why the work on a prompt was wasted. */
export enum WasteCause {
  CANCELLED = 'cancelled',
  CRASHED = 'crashed',
  /** The engine failed the request without crashing. */
  FAILED = 'failed',
  EVICTED = 'evicted',
  REPEATED = 'repeated',
}

/** Why a message was dropped. */
export enum DropReason {
  OLD_ATTEMPT = 'old_attempt',
  DUPLICATE = 'duplicate',
  OUT_OF_ORDER = 'out_of_order',
  UNKNOWN_REQUEST = 'unknown_request',
  LATE_CLAIM_REPLY = 'late_claim_reply',
}

/** An observation for metrics. Times are in milliseconds, amounts in tokens. */
export type Observation =
  | { kind: 'outcome'; service: string; tier: string; code: schema.ResultCode; inTime: boolean }
  | { kind: 'firstByte'; service: string; tier: string; ms: number }
  | { kind: 'queueWait'; tier: string; ms: number }
  | { kind: 'wastedPrefill'; cause: WasteCause; tokens: number }
  | { kind: 'dropped'; reason: DropReason }
  | { kind: 'invariantBroken'; name: string };

export type ObserveEffect = { kind: 'observe'; observation: Observation };

/** Builds the log line of a decision, at the level INFO. */
export function logDecision(event: string, fields: Record<string, unknown>): LogEffect {
  return { kind: 'log', level: schema.LogLevel.INFO, event, fields };
}

/** Builds the effect that records an observation. */
export function observe(observation: Observation): ObserveEffect {
  return { kind: 'observe', observation };
}
