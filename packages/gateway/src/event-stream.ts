/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * A backend server may fail in the middle of an event. If part of that event had been forwarded,
 * it could not be undone when another backend server resumes the stream.
 *
 * Lines end with LF, CR or CRLF. An event ends with a blank line; comments and blank lines between
 * events belong to none. A byte order mark may precede the first line.
 */
import * as byteCollector from './byte-collector.js';

export type EventStream = {
  /** Complete events in the response that is being read. */
  events: number;
  /** Bytes that are held back: an incomplete event. */
  pending: byteCollector.ByteCollector;
  /** The response continues a stream; a byte order mark at its beginning is left out. */
  isContinued: boolean;
  /** Part of the incomplete event has been forwarded. */
  isPartForwarded: boolean;
  /** Beginning of the line that is being read, in Latin-1. */
  line: string;
  isFirstLine: boolean;
  /** The last line ended with CR; an LF that follows belongs to it. */
  isAfterReturn: boolean;
  /** A field that only event streams have was read. */
  hasEventField: boolean;
  /** A line was read that is neither such a field nor a comment. */
  hasOtherLine: boolean;
  /** The event that is being read has fields already. */
  hasFields: boolean;
  hasData: boolean;
  /** Id of the event that is being read; undefined while it has none. */
  id: string | undefined;
  /** Id of the last complete event; undefined before the first and after one without an id. */
  lastEventId: string | undefined;
};

/** Complete events, and comments or blank lines between them. */
export type CompleteEvents = { bytes: Buffer; events: number };

const EVENT_FIELDS = ['data', 'event', 'id', 'retry'];
const LF = 0x0a;
const CR = 0x0d;
const EMPTY = Buffer.alloc(0);
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';
/** A longer event is forwarded in parts, to limit the memory; bytes. */
const MAX_EVENT_BYTES = 1_048_576;
/** Longest event id after which a stream is resumed; characters. */
const MAX_ID_LENGTH = 4096;
/** Longest part of a line that is kept, to find event ids; characters. */
const MAX_LINE_LENGTH = MAX_ID_LENGTH + 16;

/** Creates the state before the first line of a response. */
function createReadingState() {
  return {
    events: 0,
    pending: byteCollector.createByteCollector(),
    isPartForwarded: false,
    line: '',
    isFirstLine: true,
    isAfterReturn: false,
    hasEventField: false,
    hasOtherLine: false,
    hasFields: false,
    hasData: false,
    id: undefined,
  };
}

/** Creates a stream without events. */
export function createEventStream(): EventStream {
  return { ...createReadingState(), isContinued: false, lastEventId: undefined };
}

/**
 * Prepares for the response of another attempt; an incomplete event is dropped.
 *
 * @param isContinued whether events of an earlier attempt have been forwarded
 */
export function restart(stream: EventStream, isContinued: boolean): void {
  Object.assign(stream, createReadingState(), { isContinued });
}

/** Returns the line that is being read, without a byte order mark. */
function getLine({ line, isFirstLine }: EventStream): string {
  return isFirstLine && line.startsWith(BYTE_ORDER_MARK)
    ? line.slice(BYTE_ORDER_MARK.length)
    : line;
}

/** Returns whether the last bytes belong to an event, or a line, that has not ended. */
export function isInsideEvent(stream: EventStream): boolean {
  return stream.hasFields || getLine(stream) !== '';
}

/** Returns whether the beginning of a line may be that of a field of an event, or of a comment. */
function isFieldBeginning(begun: string): boolean {
  return (
    begun.startsWith(':') ||
    EVENT_FIELDS.some((name) => `${name}:`.startsWith(begun.slice(0, name.length + 1)))
  );
}

/**
 * Returns whether a body may consist of events, judged by its lines. An empty one may.
 */
export function hasPossibleEvents(stream: EventStream): boolean {
  return stream.hasEventField || (!stream.hasOtherLine && isFieldBeginning(getLine(stream)));
}

/** Handles a field; `line` is the whole line. */
function handleField(stream: EventStream, line: string): void {
  stream.hasFields = true;
  const colon = line.indexOf(':');
  const name = colon === -1 ? line : line.slice(0, colon);
  const isEventField = EVENT_FIELDS.includes(name);
  stream.hasEventField = stream.hasEventField || isEventField;
  stream.hasOtherLine = stream.hasOtherLine || !isEventField;
  stream.hasData = stream.hasData || name === 'data';
  if (name === 'id') {
    const value = colon === -1 ? '' : line.slice(colon + 1);
    stream.id = value.startsWith(' ') ? value.slice(1) : value;
  }
}

/** Returns whether a stream can be resumed after an event with this id. */
function isUsableId(id: string | undefined): boolean {
  return id !== undefined && id !== '' && id.length < MAX_ID_LENGTH && !id.includes('\0');
}

/** Handles the end of a line; returns the number of events that end with it. */
function endLine(stream: EventStream): number {
  const line = getLine(stream);
  stream.line = '';
  stream.isFirstLine = false;
  if (line !== '') {
    if (!line.startsWith(':')) {
      handleField(stream, line);
    }
    return 0;
  }
  if (!stream.hasFields) {
    return 0;
  }
  if (stream.id !== undefined || stream.hasData) {
    stream.lastEventId = isUsableId(stream.id) ? stream.id : undefined;
  }
  stream.hasFields = false;
  stream.hasData = false;
  stream.id = undefined;
  stream.events += 1;
  return 1;
}

/** Adds a part of a line. */
function addToLine(stream: EventStream, part: Buffer): void {
  const end = Math.min(part.length, MAX_LINE_LENGTH - stream.line.length);
  stream.line += part.toString('latin1', 0, end);
}

/** Finds the end of the line that begins at an offset. */
function findLineEnd(chunk: Buffer, from: number): number {
  for (let at = from; at < chunk.length; at += 1) {
    if (chunk[at] === LF || chunk[at] === CR) {
      return at;
    }
  }
  return chunk.length;
}

/**
 * Reads a chunk. Returns the number of events that end in it, and the offset after the last line
 * end that is not inside an event.
 */
export function readChunk(stream: EventStream, chunk: Buffer): { events: number; end: number } {
  let events = 0;
  let end = 0;
  let at = 0;
  while (at < chunk.length) {
    if (stream.isAfterReturn && chunk[at] === LF) {
      at += 1;
    } else {
      const lineEnd = findLineEnd(chunk, at);
      addToLine(stream, chunk.subarray(at, lineEnd));
      if (lineEnd === chunk.length) {
        stream.isAfterReturn = false;
        break;
      }
      events += endLine(stream);
      at = lineEnd + 1;
    }
    stream.isAfterReturn = chunk[at - 1] === CR;
    end = isInsideEvent(stream) ? end : at;
  }
  return { events, end };
}

/** Removes the byte order mark of a response that continues a stream from its first bytes. */
function trimMark(stream: EventStream, bytes: Buffer): Buffer {
  if (!stream.isContinued || bytes.length === 0) {
    return bytes;
  }
  stream.isContinued = false;
  const mark = Buffer.from(BYTE_ORDER_MARK, 'latin1');
  return bytes.subarray(0, mark.length).equals(mark) ? bytes.subarray(mark.length) : bytes;
}

/** Takes the bytes that are held back. */
export function takePending(stream: EventStream): Buffer {
  return trimMark(stream, byteCollector.takeBytes(stream.pending));
}

/** Adds a chunk to the stream and returns the complete events that can be forwarded. */
export function pushChunk(stream: EventStream, chunk: Buffer): CompleteEvents {
  const { events, end } = readChunk(stream, chunk);
  let bytes: Buffer = EMPTY;
  if (end > 0) {
    byteCollector.addBytes(stream.pending, chunk.subarray(0, end));
    bytes = takePending(stream);
  }
  if (end < chunk.length) {
    byteCollector.addBytes(stream.pending, chunk.subarray(end));
  }
  stream.isPartForwarded = stream.isPartForwarded && end === 0;
  if (stream.pending.length <= MAX_EVENT_BYTES) {
    return { bytes, events };
  }
  stream.isPartForwarded = true;
  return { bytes: Buffer.concat([bytes, takePending(stream)]), events };
}

/** Returns whether another attempt can continue after the events that have been forwarded. */
export function isResumable({ isPartForwarded, lastEventId }: EventStream): boolean {
  return !isPartForwarded && lastEventId !== undefined;
}
