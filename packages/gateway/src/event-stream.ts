/**
 * Cuts a stream of server-sent events at the ends of events.
 *
 * A backend server may stop in the middle of an event. What was passed on of it
 * could not be taken back when another one resumes the stream.
 */

export type EventStream = {
  /** Bytes of an event that is not complete yet. */
  rest: Buffer;
  /** Id of the last complete event; undefined before the first that has one. */
  lastId: string | undefined;
  events: number;
};

const EVENT_END = Buffer.from('\n\n');
const EMPTY = Buffer.alloc(0);
const ID_LINE = /(?:^|\n)id: ?([^\n]*)/g;
/** An event longer than this is passed on in parts, bytes; bounds the memory. */
const MAX_EVENT_BYTES = 1_048_576;

/** Creates a stream that has not begun. */
export function createEventStream(): EventStream {
  return { rest: EMPTY, lastId: undefined, events: 0 };
}

/** Counts the ends of events in some bytes. */
export function countEventEnds(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(EVENT_END);
  while (at !== -1) {
    count += 1;
    at = bytes.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return count;
}

/** Takes bytes in and gives the complete events that can be passed on. */
export function takeEvents(stream: EventStream, chunk: Buffer): Buffer {
  const bytes = stream.rest.length === 0 ? chunk : Buffer.concat([stream.rest, chunk]);
  const last = bytes.lastIndexOf(EVENT_END);
  const end = last === -1 ? 0 : last + EVENT_END.length;
  const whole = bytes.length > MAX_EVENT_BYTES ? bytes : bytes.subarray(0, end);
  stream.rest = bytes.subarray(whole.length);
  stream.events += countEventEnds(whole);
  const ids = [...whole.toString('latin1').matchAll(ID_LINE)];
  stream.lastId = ids.at(-1)?.[1] ?? stream.lastId;
  return whole;
}
