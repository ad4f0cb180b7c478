/**
 * What the text of a body shows about its end and about bytes that do not belong to it.
 *
 * Engines send no id with a response, so only the content can show where a further one begins. In
 * JSON text and in event streams, the head of a response can have no place.
 */
import * as runtime from '@toucanproxy/runtime';

export enum ContentKind {
  JSON = 'json',
  EVENTS = 'events',
  /** Content that may hold any bytes. */
  OTHER = 'other',
}

/** How far a body has been read. */
export type ContentState = {
  kind: ContentKind;
  /** Of JSON: how many arrays and objects are open. */
  depth: number;
  isInString: boolean;
  isEscaped: boolean;
  /** The last bytes, as many as show the end of an event. */
  lastBytes: string;
};

const JSON_TYPE = /^application\/(?:[\w.+-]*[+-])?json(?:l|-seq)?\s*(?:;|$)/i;
const EVENTS_TYPE = /^text\/event-stream\s*(?:;|$)/i;
/** The names of all fields that an event has. */
const EVENT_FIELDS = ['data', 'event', 'id', 'retry'];
const REQUEST_ID_HEADER = 'x-request-id';
const DATE_HEADER = 'date';
const EVENT_END = /(?:\n\n|\r\n\r\n|\r\r)$/;
const EVENT_END_BYTES = 4;
/** Fewer bytes may as well end a text that is wrongly declared as JSON: the name of the protocol. */
const MIN_HEAD_BYTES = 'HTTP/1.'.length;

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = '\\'.charCodeAt(0);
const OPENING = [...'{['].map((letter) => letter.charCodeAt(0));
const CLOSING = [...'}]'].map((letter) => letter.charCodeAt(0));

/** Returns the kind of content that a media type names. */
function toKind(contentType: string): ContentKind {
  if (JSON_TYPE.test(contentType)) {
    return ContentKind.JSON;
  }
  return EVENTS_TYPE.test(contentType) ? ContentKind.EVENTS : ContentKind.OTHER;
}

/** Creates the state of a body of which nothing has been read. */
export function createContentState(contentType: string): ContentState {
  const kind = toKind(contentType);
  return { kind, depth: 0, isInString: false, isEscaped: false, lastBytes: '' };
}

/** Reads JSON text, as far as brackets and strings go. */
function readJson(state: ContentState, bytes: Buffer): ContentState {
  let { depth, isInString, isEscaped } = state;
  for (let at = 0; at < bytes.length; at += 1) {
    const byte = bytes[at];
    if (isInString) {
      isInString = isEscaped || byte !== QUOTE;
      isEscaped = !isEscaped && byte === BACKSLASH;
    } else if (byte === QUOTE) {
      isInString = true;
    } else if (OPENING.includes(byte)) {
      depth += 1;
    } else if (CLOSING.includes(byte)) {
      depth -= 1;
    }
  }
  return { ...state, depth, isInString, isEscaped };
}

/** Returns the state after further bytes. */
export function readContent(state: ContentState, bytes: Buffer): ContentState {
  switch (state.kind) {
    case ContentKind.JSON:
      return readJson(state, bytes);
    case ContentKind.EVENTS: {
      const last = bytes.subarray(-EVENT_END_BYTES).toString('latin1');
      return { ...state, lastBytes: (state.lastBytes + last).slice(-EVENT_END_BYTES) };
    }
    default:
      return state;
  }
}

/** Whether a body that ends here ends inside a value or an event. */
export function isUnfinished({ kind, depth, isInString, lastBytes }: ContentState): boolean {
  switch (kind) {
    case ContentKind.JSON:
      return isInString || depth > 0;
    case ContentKind.EVENTS:
      return lastBytes !== '' && !EVENT_END.test(lastBytes);
    default:
      return false;
  }
}

/** Whether a body can end with bytes that look like the beginning of a head. */
export function isEndOfBody(state: ContentState, bytes: Buffer): boolean {
  if (state.kind === ContentKind.JSON && !state.isInString) {
    return bytes.length < MIN_HEAD_BYTES && !isUnfinished(state);
  }
  return !isUnfinished(readContent(state, bytes));
}

/** Whether a head with these headers has no place in the content of a response to a request. */
function isForeignHead(kind: ContentKind, headers: string[], requestId: string): boolean {
  const names = headers.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  switch (kind) {
    case ContentKind.JSON:
      // A quoted head has no line ends; a line of a document is no header.
      return names.length > 0;
    case ContentKind.EVENTS:
      return names.some((name) => !EVENT_FIELDS.includes(name));
    default:
      return names.some(
        (name, at) => name === REQUEST_ID_HEADER && headers[2 * at + 1] === requestId,
      );
  }
}

/** The response whose body is read. */
export type ContentOrigin = {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  /** Id that the request stated. */
  requestId: string;
};

/**
 * Whether a head is the one of the response itself, but for its date. Only a server that responds
 * again repeats all of it; a quoted response has headers, or at least a framing, of its own.
 */
function isRepeatedHead(headers: string[], own: ContentOrigin['headers']): boolean {
  const repeated = new Map<string, string[]>();
  headers.forEach((header, index) => {
    if (index % 2 === 0) {
      const name = header.toLowerCase();
      repeated.set(name, [...(repeated.get(name) ?? []), headers[index + 1]]);
    }
  });
  return (
    repeated.has(DATE_HEADER) &&
    own[DATE_HEADER] !== undefined &&
    repeated.size === Object.keys(own).length &&
    [...repeated].every(
      ([name, values]) => name === DATE_HEADER || String(own[name]) === String(values),
    )
  );
}

/**
 * Creates the function that judges a head inside the body of a response.
 *
 * A server that fails within a body may send an error response behind it, so a response with another
 * status does not show that the one before it was complete.
 */
export function createHeadJudge({ kind }: ContentState, own: ContentOrigin): runtime.JudgeHead {
  return (status, headers) => {
    if (isForeignHead(kind, headers, own.requestId)) {
      return status === own.status ? runtime.HeadVerdict.RESPONSE : runtime.HeadVerdict.UNCERTAIN;
    }
    return kind === ContentKind.OTHER &&
      status === own.status &&
      isRepeatedHead(headers, own.headers)
      ? runtime.HeadVerdict.UNCERTAIN
      : runtime.HeadVerdict.BODY;
  };
}
