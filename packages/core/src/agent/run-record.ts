/**
 * One attempt as its agent remembers it, from the offer until the record
 * expires. The record is what makes the agent the only gate to its engine.
 */
import * as schema from '@toucanproxy/schema';

export enum RunStatus {
  QUEUED = 'queued',
  /** Handed to the engine; irrevocable. */
  STARTED = 'started',
  COMPLETED = 'completed',
  /** Started and ended without a whole answer. */
  FAILED = 'failed',
  /** Tombstone: confirmed not run; a late copy of the offer is refused. */
  NOT_RUN = 'not_run',
}

/** Content of one answer part; the sequence number is its index. */
export type PartContent = schema.AnswerPart['content'];

export type RunRecord = {
  refKey: string;
  ref: schema.AttemptRef;
  /** Undefined in a tombstone made for an offer that never came. */
  offer: schema.Offer | undefined;
  status: RunStatus;
  /** Why the run failed or was not run. */
  code: schema.ResultCode;
  parts: PartContent[];
  /** Links that want the answer. */
  subscribers: Set<number>;
  /** When the record last changed its status, milliseconds. */
  changedMs: number;
  /** Set once the bytes of an ended answer have been dropped. */
  answerDropped: boolean;
  /** Set once the attempt has been cut short at its entry's request. */
  cancelled: boolean;
  /** Set once a crash of the engine has been put down to this attempt. */
  crashed: boolean;
  /** Estimated tokens of the prompt. */
  promptTokens: number;
};

/** Bytes of a request that make one token of a prompt, about. */
const BYTES_PER_TOKEN = 4;

/** Makes a record for an offer, or a tombstone where the offer never came. */
export function makeRunRecord(
  refKey: string,
  ref: schema.AttemptRef,
  offer: schema.Offer | undefined,
  now: number,
): RunRecord {
  return {
    refKey,
    ref,
    offer,
    status: offer === undefined ? RunStatus.NOT_RUN : RunStatus.QUEUED,
    code: schema.ResultCode.UNSPECIFIED,
    parts: [],
    subscribers: new Set(),
    changedMs: now,
    answerDropped: false,
    cancelled: false,
    crashed: false,
    promptTokens: Math.ceil((offer?.payload.length ?? 0) / BYTES_PER_TOKEN),
  };
}

/** Drops the request's bytes, which are of no use once it has been handed over. */
export function dropPayload(record: RunRecord): void {
  if (record.offer !== undefined) {
    record.offer = { ...record.offer, payload: new Uint8Array() };
  }
}

/** Gets the HTTP status that the engine answered with; 0 while there is none. */
export function getStatus(record: RunRecord): number {
  const [head] = record.parts;
  return head?.case === 'head' ? head.value.status : 0;
}

/** Tells whether an attempt has ended in whatever way. */
export function isEnded(record: RunRecord): boolean {
  return record.status !== RunStatus.QUEUED && record.status !== RunStatus.STARTED;
}
