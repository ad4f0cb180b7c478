/**
 * Finds a further HTTP response among the bytes of a response body.
 *
 * A body without a length or chunks ends with its connection, and one that is cut short takes what
 * follows for its rest. A backend server that responds twice puts the second response there.
 *
 * A status line alone proves nothing: a body may quote HTTP. What proves a further response is left to
 * the caller, who knows what has been sent on the connection.
 */

/** What the head of an HTTP response inside a body is taken for. */
export enum HeadVerdict {
  /** Text of the body. */
  BODY = 'body',
  /** The beginning of another response; the body ends before it. */
  RESPONSE = 'response',
  /** One or the other; the response cannot be used. */
  UNCERTAIN = 'uncertain',
}

/** Judges a head by its status and headers, names and values alternating. */
export type JudgeHead = (status: number, headers: string[]) => HeadVerdict;

/** How far a head has been read, so that no line is read again when more bytes arrive. */
export type HeadReading = {
  isWhole: boolean;
  /** 0 while the status line has not ended. */
  status: number;
  headers: string[];
  /** Offset of the line that has not ended. */
  lineAt: number;
  /** Offset from which a further status line is searched. */
  searchAt: number;
};

export type ResponseScan = {
  judgeHead: JudgeHead;
  /** Bytes that may be the beginning of a head. */
  held: Buffer;
  reading: HeadReading;
};

/** Bytes that belong to the body, and what follows them. */
export type ScanResult = { body: Buffer; next: HeadVerdict };

const EMPTY = Buffer.alloc(0);
const MARK = Buffer.from('HTTP/1.');
const LF = 0x0a;
/** A longer head counts as text of the body; bytes. */
const MAX_HEAD_BYTES = 16_384;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: .*)?\r?$/;
/** The first bytes of a status line, or as many of them as have arrived. */
const STATUS_BEGINNING = /^HTTP\/1\.(?:$|[01](?:$| (?:$|[1-9](?:$|\d(?:$|\d(?:$|[ \r\n]))))))/;
const STATUS_BEGINNING_BYTES = 13;
/** A line that has not ended. A CR ends lines of events, but is no part of a head without an LF. */
const UNFINISHED_LINE = /^[^\r]*\r?$/;
const FURTHER_STATUS = /^HTTP\/1\.[01] [1-9]\d\d/;
const STATUS_INSIDE = /HTTP\/1\.[01] [1-9]\d\d/;
const FIELD_LINE = /^([!#$%&'*+.^_`|~\w-]+):[ \t]*(.*?)[ \t]*\r?$/;
const FIELD_LINE_BEGINNING = /^(?:[!#$%&'*+.^_`|~\w-]*(?::.*)?|[ \t].*)\r?$/;
const FOLDED_LINE = /^[ \t]/;

/** Reads the first bytes of what may be a status line. */
function readStatusBeginning(bytes: Buffer, at: number): string {
  return bytes.toString('latin1', at, at + STATUS_BEGINNING_BYTES);
}

/** Creates the reading of a head of which nothing has been read. */
function createReading(): HeadReading {
  return { isWhole: false, status: 0, headers: [], lineAt: 0, searchAt: 1 };
}

/** Reads the next line; returns false if it is none of a head. */
function readLine(reading: HeadReading, line: string): boolean {
  const { lineAt, headers } = reading;
  if (lineAt === 0) {
    reading.status = Number(STATUS_LINE.exec(line)?.[1] ?? 0);
    return reading.status > 0;
  }
  if (line === '' || line === '\r') {
    reading.isWhole = true;
    return true;
  }
  if (headers.length > 0 && FOLDED_LINE.test(line)) {
    return true;
  }
  const [, name, value] = FIELD_LINE.exec(line) ?? [];
  if (name !== undefined) {
    headers.push(name, value);
  }
  return name !== undefined;
}

/** Returns whether a line that has not ended may be one of a head. */
function isLineBeginning({ lineAt }: HeadReading, text: string): boolean {
  return (lineAt === 0 ? UNFINISHED_LINE : FIELD_LINE_BEGINNING).test(text);
}

/** Finds the first further status line; -1 if there is none. */
function findFurtherStatus(reading: HeadReading, bytes: Buffer): number {
  let at = bytes.indexOf(MARK, reading.searchAt);
  while (at !== -1 && !FURTHER_STATUS.test(readStatusBeginning(bytes, at))) {
    at = bytes.indexOf(MARK, at + 1);
  }
  reading.searchAt = Math.max(1, bytes.length - STATUS_BEGINNING_BYTES);
  return at;
}

/**
 * Reads on in a head, of which `bytes` are all bytes so far; returns false if they are no head. That
 * is also so if a further status line comes before its end: the first one is text before another head.
 */
function readHead(reading: HeadReading, bytes: Buffer): boolean {
  if (reading.lineAt === 0 && !STATUS_BEGINNING.test(readStatusBeginning(bytes, 0))) {
    return false;
  }
  const further = findFurtherStatus(reading, bytes);
  const end = further === -1 ? bytes.length : further;
  let lineEnd = bytes.indexOf(LF, reading.lineAt);
  while (lineEnd !== -1 && lineEnd < end) {
    if (!readLine(reading, bytes.toString('latin1', reading.lineAt, lineEnd))) {
      return false;
    }
    if (reading.isWhole) {
      return true;
    }
    reading.lineAt = lineEnd + 1;
    lineEnd = bytes.indexOf(LF, reading.lineAt);
  }
  return further === -1 && isLineBeginning(reading, bytes.toString('latin1', reading.lineAt));
}

/** Judges a head that is cut short before other text, by its lines up to there. */
function findCutVerdict(judgeHead: JudgeHead, { status, headers }: HeadReading): HeadVerdict {
  const verdict = headers.length === 0 ? HeadVerdict.BODY : judgeHead(status, headers);
  return verdict === HeadVerdict.BODY ? verdict : HeadVerdict.UNCERTAIN;
}

/** Judges the bytes from a possible status line on; undefined while more bytes decide. */
function findVerdict(
  judgeHead: JudgeHead,
  reading: HeadReading,
  bytes: Buffer,
): HeadVerdict | undefined {
  if (!readHead(reading, bytes.subarray(0, MAX_HEAD_BYTES))) {
    return findCutVerdict(judgeHead, reading);
  }
  if (reading.isWhole) {
    return judgeHead(reading.status, reading.headers);
  }
  return bytes.length > MAX_HEAD_BYTES ? HeadVerdict.BODY : undefined;
}

/** Counts the last bytes that may be the beginning of the mark. */
function countMarkBeginning(bytes: Buffer): number {
  if (bytes.length === 0 || !MARK.includes(bytes[bytes.length - 1])) {
    return 0;
  }
  const longest = Math.min(MARK.length - 1, bytes.length);
  const lengths = Array.from({ length: longest }, (_, index) => longest - index);
  return (
    lengths.find((length) =>
      bytes.subarray(bytes.length - length).equals(MARK.subarray(0, length)),
    ) ?? 0
  );
}

/**
 * Returns whether the head of a further response begins inside a head that was cut short: its status
 * line then stands in a value, or in the reason of the status, and its headers follow.
 */
export function hasFurtherHead(reason: string, headers: readonly string[]): boolean {
  return [reason, ...headers].some((text) => STATUS_INSIDE.test(text));
}

/** Creates the scan of one response body. */
export function createResponseScan(judgeHead: JudgeHead): ResponseScan {
  return { judgeHead, held: EMPTY, reading: createReading() };
}

/** Adds a chunk of the body; returns what belongs to the body for certain. */
export function scanChunk(scan: ResponseScan, chunk: Buffer): ScanResult {
  const bytes = scan.held.length === 0 ? chunk : Buffer.concat([scan.held, chunk]);
  scan.held = EMPTY;
  let at = bytes.indexOf(MARK);
  while (at !== -1) {
    const verdict = findVerdict(scan.judgeHead, scan.reading, bytes.subarray(at));
    if (verdict === undefined) {
      scan.held = bytes.subarray(at);
      return { body: bytes.subarray(0, at), next: HeadVerdict.BODY };
    }
    scan.reading = createReading();
    if (verdict !== HeadVerdict.BODY) {
      return { body: bytes.subarray(0, at), next: verdict };
    }
    at = bytes.indexOf(MARK, at + 1);
  }
  const end = bytes.length - countMarkBeginning(bytes);
  scan.held = bytes.subarray(end);
  return { body: bytes.subarray(0, end), next: HeadVerdict.BODY };
}

/** Completes the scan of a body that ends with its connection; a head may have been cut short there. */
export function completeScan(scan: ResponseScan): ScanResult {
  const bytes = scan.held;
  const { status, headers } = scan.reading;
  scan.held = EMPTY;
  // Text may well end with the name of the protocol, but hardly with a whole status line.
  if (status === 0) {
    return { body: bytes, next: HeadVerdict.BODY };
  }
  const verdict = scan.judgeHead(status, headers);
  const isProven = verdict === HeadVerdict.RESPONSE;
  return { body: EMPTY, next: isProven ? verdict : HeadVerdict.UNCERTAIN };
}

/** Completes the scan of a body whose length is complete: bytes that are held back belong to it. */
export function releaseHeld(scan: ResponseScan): ScanResult {
  const body = scan.held;
  scan.held = EMPTY;
  return { body, next: HeadVerdict.BODY };
}
