/**
 * The agent's record of one attempt, from the offer until the record expires.
 *
 * All requests reach the engine through its agent, and the record keeps each
 * attempt from being started twice.
 */
import * as schema from '@toucanproxy/schema';

export enum RunStatus {
  QUEUED = 'queued',
  /** Handed to the engine; the attempt can no longer be withdrawn. */
  STARTED = 'started',
  COMPLETED = 'completed',
  /** Started and ended without a complete response. */
  FAILED = 'failed',
  /** Tombstone: confirmed not run; a late copy of the offer is refused. */
  NOT_RUN = 'not_run',
}

/** Content of one part of a response; its index is the sequence number. */
export type PartContent = schema.AnswerPart['content'];

export type RunRecord = {
  refKey: string;
  ref: schema.AttemptRef;
  /** Undefined in a tombstone that was created before its offer arrived. */
  offer: schema.Offer | undefined;
  status: RunStatus;
  /** Why the run failed or was not run. */
  code: schema.ResultCode;
  parts: PartContent[];
  /** Links that receive the response. */
  subscribers: Set<number>;
  /** When the status last changed, milliseconds since the Unix epoch. */
  changedMs: number;
  /** Set once the parts of a completed response have been dropped. */
  responseDropped: boolean;
  /** Set once the attempt has been cancelled at the request of its entry. */
  cancelled: boolean;
  /** Set once a crash of the engine during this attempt has been recorded. */
  crashed: boolean;
  /** Estimated tokens of the prompt. */
  promptTokens: number;
};

/** Approximate number of request bytes per prompt token. */
const BYTES_PER_TOKEN = 4;

/** Creates a record for an offer, or a tombstone where the offer has not arrived. */
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
    responseDropped: false,
    cancelled: false,
    crashed: false,
    promptTokens: Math.ceil((offer?.payload.length ?? 0) / BYTES_PER_TOKEN),
  };
}

/** Drops the request's payload, which is not needed once it has been started or refused. */
export function dropPayload(record: RunRecord): void {
  if (record.offer !== undefined) {
    record.offer = { ...record.offer, payload: new Uint8Array() };
  }
}

/** Returns the HTTP status of the engine's response; 0 while there is none. */
export function getHttpStatus(record: RunRecord): number {
  const [head] = record.parts;
  return head?.case === 'head' ? head.value.status : 0;
}

/** Whether an attempt has ended, in any way. */
export function isEnded(record: RunRecord): boolean {
  return record.status !== RunStatus.QUEUED && record.status !== RunStatus.STARTED;
}
