/**
 * Retention of ended attempts in bounded memory.
 *
 * The record of an attempt is kept until a late copy of its offer would be
 * refused as stale; its response may be dropped earlier. Responses that an entry
 * has acknowledged are kept for callers that retry with the same key, as far as
 * `MAX_RESPONSE_BYTES` allows.
 */
import * as runRecord from './run-record.js';

type EndedRun = { refKey: string; endedMs: number };

export type RunRetention = {
  /** Ended attempts in the order of their end; those before `headIndex` have been forgotten. */
  ended: EndedRun[];
  headIndex: number;
  /** Bytes of each response that awaits acknowledgement, by reference key, the oldest first. */
  waiting: Map<string, number>;
  /** Bytes of each acknowledged response, by reference key, the oldest first. */
  acknowledged: Map<string, number>;
  /** Bytes of all kept responses. */
  responseBytes: number;
};

/** Maximum size in bytes of the responses that one agent keeps. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Number of forgotten entries after which `ended` is compacted. */
const MAX_FORGOTTEN = 1024;

/** Creates a retention without any attempts. */
export function createRunRetention(): RunRetention {
  return {
    ended: [],
    headIndex: 0,
    waiting: new Map(),
    acknowledged: new Map(),
    responseBytes: 0,
  };
}

/** Records that an attempt has ended. */
export function recordEnded(retention: RunRetention, refKey: string, now: number): void {
  retention.ended.push({ refKey, endedMs: now });
}

/** Removes and returns the attempts that ended before a time. */
export function takeEndedBefore(retention: RunRetention, beforeMs: number): string[] {
  const taken: string[] = [];
  while (retention.ended[retention.headIndex]?.endedMs < beforeMs) {
    taken.push(retention.ended[retention.headIndex].refKey);
    retention.headIndex += 1;
  }
  if (retention.headIndex > MAX_FORGOTTEN) {
    retention.ended.splice(0, retention.headIndex);
    retention.headIndex = 0;
  }
  return taken;
}

/** Computes the size of a response, bytes. */
function measureResponse(record: runRecord.RunRecord): number {
  return record.parts.reduce(
    (sum, part) => sum + (part.case === 'data' ? part.value.length : 0),
    0,
  );
}

/** Subtracts a response that is no longer kept. */
export function forgetResponse(retention: RunRetention, refKey: string): void {
  const bytes = retention.waiting.get(refKey) ?? retention.acknowledged.get(refKey) ?? 0;
  retention.responseBytes -= bytes;
  retention.waiting.delete(refKey);
  retention.acknowledged.delete(refKey);
}

/** Adds the response of a completed attempt, not yet acknowledged. */
export function keepResponse(retention: RunRetention, record: runRecord.RunRecord): void {
  const bytes = measureResponse(record);
  retention.waiting.set(record.refKey, bytes);
  retention.responseBytes += bytes;
}

/** Records that an entry has received a complete response. */
export function recordAcknowledged(retention: RunRetention, refKey: string): void {
  const bytes = retention.waiting.get(refKey);
  if (bytes !== undefined) {
    retention.waiting.delete(refKey);
    retention.acknowledged.set(refKey, bytes);
  }
}

/** Removes and returns responses until the others fit; the oldest acknowledged ones go first. */
export function takeExcessResponses(retention: RunRetention, maxBytes: number): string[] {
  const taken: string[] = [];
  while (retention.responseBytes > maxBytes) {
    const [oldest] = retention.acknowledged.size > 0 ? retention.acknowledged : retention.waiting;
    if (oldest === undefined) {
      break;
    }
    forgetResponse(retention, oldest[0]);
    taken.push(oldest[0]);
  }
  return taken;
}
