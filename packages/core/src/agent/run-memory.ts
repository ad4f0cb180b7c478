/**
 * What an agent remembers of ended attempts, in bounded memory.
 *
 * The record of an attempt stays until a late copy of its offer would be
 * refused as stale; the bytes of its answer go sooner. Answers that an entry
 * has acknowledged are kept for callers that send their key again, as far as
 * `MAX_ANSWER_BYTES` allows.
 */
import * as runRecord from './run-record.js';

type EndedRun = { refKey: string; endedMs: number };

export type RunMemory = {
  /** In order of ending; those before `firstEnded` have been forgotten. */
  ended: EndedRun[];
  firstEnded: number;
  /** Bytes of answers by reference key, the oldest first. */
  waiting: Map<string, number>;
  acknowledged: Map<string, number>;
  answerBytes: number;
};

/** Bytes of ended answers that one agent keeps. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** Forgotten entries after which the order of ending is moved together. */
const MAX_FORGOTTEN = 1024;

/** Creates an empty memory. */
export function createRunMemory(): RunMemory {
  return {
    ended: [],
    firstEnded: 0,
    waiting: new Map(),
    acknowledged: new Map(),
    answerBytes: 0,
  };
}

/** Notes that an attempt has ended. */
export function noteEnded(memory: RunMemory, refKey: string, now: number): void {
  memory.ended.push({ refKey, endedMs: now });
}

/** Takes the attempts that ended before a time out of the memory. */
export function takeEndedBefore(memory: RunMemory, beforeMs: number): string[] {
  const taken: string[] = [];
  while (memory.ended[memory.firstEnded]?.endedMs < beforeMs) {
    taken.push(memory.ended[memory.firstEnded].refKey);
    memory.firstEnded += 1;
  }
  if (memory.firstEnded > MAX_FORGOTTEN) {
    memory.ended.splice(0, memory.firstEnded);
    memory.firstEnded = 0;
  }
  return taken;
}

/** Measures the bytes of an answer. */
function measureAnswer(record: runRecord.RunRecord): number {
  return record.parts.reduce(
    (sum, part) => sum + (part.case === 'data' ? part.value.length : 0),
    0,
  );
}

/** Takes an answer out of the account. */
export function forgetAnswer(memory: RunMemory, refKey: string): void {
  const bytes = memory.waiting.get(refKey) ?? memory.acknowledged.get(refKey) ?? 0;
  memory.answerBytes -= bytes;
  memory.waiting.delete(refKey);
  memory.acknowledged.delete(refKey);
}

/** Keeps the answer of an attempt that has ended. */
export function keepAnswer(memory: RunMemory, record: runRecord.RunRecord): void {
  const bytes = measureAnswer(record);
  memory.waiting.set(record.refKey, bytes);
  memory.answerBytes += bytes;
}

/** Notes that an entry has received an answer whole. */
export function noteAcknowledged(memory: RunMemory, refKey: string): void {
  const bytes = memory.waiting.get(refKey);
  if (bytes !== undefined) {
    memory.waiting.delete(refKey);
    memory.acknowledged.set(refKey, bytes);
  }
}

/** Takes answers to be dropped until the rest fits; acknowledged ones go first. */
export function takeExcessAnswers(memory: RunMemory, maxBytes: number): string[] {
  const taken: string[] = [];
  while (memory.answerBytes > maxBytes) {
    const [oldest] = memory.acknowledged.size > 0 ? memory.acknowledged : memory.waiting;
    if (oldest === undefined) {
      break;
    }
    forgetAnswer(memory, oldest[0]);
    taken.push(oldest[0]);
  }
  return taken;
}
