/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * A backend server may fail in the middle of an event. If part of that event had been forwarded,
 * it could not be undone when another backend server resumes the stream.
 */

export type EventStream = {
  /** Bytes of the last event, which is still incomplete. */
  pending: Buffer;
  /** Id of the last complete event that had one; undefined before the first. */
  lastEventId: string | undefined;
  events: number;
};

const EVENT_END = Buffer.from('\n\n');
const EMPTY = Buffer.alloc(0);
const ID_LINE = /(?:^|\n)id: ?([^\n]*)/g;
/** A longer event is forwarded in parts, to limit the memory; bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Creates a stream without events. */
export function createEventStream(): EventStream {
  return { pending: EMPTY, lastEventId: undefined, events: 0 };
}

/** Counts the event boundaries in a buffer. */
export function countEventEnds(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(EVENT_END);
  while (at !== -1) {
    count += 1;
    at = bytes.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return count;
}

/** Adds a chunk to the stream and returns the complete events that can be forwarded. */
export function pushChunk(stream: EventStream, chunk: Buffer): Buffer {
  const bytes = stream.pending.length === 0 ? chunk : Buffer.concat([stream.pending, chunk]);
  const last = bytes.lastIndexOf(EVENT_END);
  const end = last === -1 ? 0 : last + EVENT_END.length;
  const complete = bytes.length > MAX_EVENT_BYTES ? bytes : bytes.subarray(0, end);
  stream.pending = bytes.subarray(complete.length);
  stream.events += countEventEnds(complete);
  const ids = [...complete.toString('latin1').matchAll(ID_LINE)];
  stream.lastEventId = ids.at(-1)?.[1] ?? stream.lastEventId;
  return complete;
}
