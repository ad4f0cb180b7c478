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
  /** Offset of the further status line; -1 if there is none. */
  furtherAt: number;
};

export type ResponseScan = {
  judgeHead: JudgeHead;
  /** Bytes that may be heads: cut ones, each followed by the next, and the one that is being read. */
  held: Buffer;
  /** Offset in `held` of the head that is being read. */
  headAt: number;
  /** Whether a head with a whole status is cut before it. */
  isBehindCut: boolean;
  reading: HeadReading;
};

/** Bytes that belong to the body, and what follows them. */
export type ScanResult = { body: Buffer; next: HeadVerdict };

const EMPTY = Buffer.alloc(0);
const MARK = Buffer.from('HTTP/1.');
const LF = 0x0a;
/** A longer head, or a longer sequence of cut ones, counts as text of the body; bytes. */
const MAX_HEAD_BYTES = 16_384;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: .*)?\r?$/;
/** The first bytes of a status line, or as many of them as have arrived. */
const STATUS_BEGINNING = /^HTTP\/1\.(?:$|[01](?:$| (?:$|[1-9](?:$|\d(?:$|\d(?:$|[ \r\n]))))))/;
const STATUS_BEGINNING_BYTES = 13;
/** A line that has not ended. A CR ends lines of events, but is no part of a head without an LF. */
const UNFINISHED_LINE = /^[^\r]*\r?$/;
/** The beginning of a status line at the end of a text. */
const CUT_STATUS = /H(?:T(?:T(?:P(?:\/(?:1(?:\.(?:[01](?: (?:[1-9]\d{0,2})?)?)?)?)?)?)?)?)?$/;
/** More status lines that are cut before their reason, one behind the other, count as text. */
const MAX_CUT_LINES = 4;
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
  return { isWhole: false, status: 0, headers: [], lineAt: 0, searchAt: 1, furtherAt: -1 };
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

/** Finds where cut status lines begin that lead up to an offset, one behind the other. */
function findCutStart(bytes: Buffer, end: number, limit = MAX_CUT_LINES): number {
  const text = bytes.toString('latin1', Math.max(0, end - STATUS_BEGINNING_BYTES), end);
  const [cut = ''] = CUT_STATUS.exec(text) ?? [];
  return cut === '' || limit === 0 ? end : findCutStart(bytes, end - cut.length, limit - 1);
}

/** The same at the end of what has arrived, where the last one may not be cut. */
function findLastCutStart(bytes: Buffer): number {
  return findCutStart(bytes, bytes.length, MAX_CUT_LINES + 1);
}

/** Returns whether a line that has not ended may be one of a head, up to either of two offsets. */
function isLineBeginning({ lineAt }: HeadReading, bytes: Buffer, ends: number[]): boolean {
  const pattern = lineAt === 0 ? UNFINISHED_LINE : FIELD_LINE_BEGINNING;
  return ends.some((end) => pattern.test(bytes.toString('latin1', lineAt, Math.max(lineAt, end))));
}

/** Finds the first further status line. */
function findFurtherStatus(reading: HeadReading, bytes: Buffer): void {
  let at = bytes.indexOf(MARK, reading.searchAt);
  while (at !== -1 && !FURTHER_STATUS.test(readStatusBeginning(bytes, at))) {
    at = bytes.indexOf(MARK, at + 1);
  }
  reading.searchAt = Math.max(1, bytes.length - STATUS_BEGINNING_BYTES);
  reading.furtherAt = at;
}

/** What the bytes from a possible status line on have been read as. */
enum HeadKind {
  UNFINISHED = 'unfinished',
  WHOLE = 'whole',
  /** A head that is cut short before another status line. */
  CUT = 'cut',
  /** Other text, which may follow some lines of a head. */
  TEXT = 'text',
}

/** Reads on in a head, of which `bytes` are all bytes so far. */
function readHead(reading: HeadReading, bytes: Buffer): HeadKind {
  if (reading.lineAt === 0 && !STATUS_BEGINNING.test(readStatusBeginning(bytes, 0))) {
    return HeadKind.TEXT;
  }
  findFurtherStatus(reading, bytes);
  const isCut = reading.furtherAt !== -1;
  const end = isCut ? reading.furtherAt : bytes.length;
  let lineEnd = bytes.indexOf(LF, reading.lineAt);
  while (lineEnd !== -1 && lineEnd < end) {
    if (!readLine(reading, bytes.toString('latin1', reading.lineAt, lineEnd))) {
      return HeadKind.TEXT;
    }
    if (reading.isWhole) {
      return HeadKind.WHOLE;
    }
    reading.lineAt = lineEnd + 1;
    lineEnd = bytes.indexOf(LF, reading.lineAt);
  }
  const cutStart = isCut ? findCutStart(bytes, end) : findLastCutStart(bytes);
  if (!isLineBeginning(reading, bytes, [end, cutStart])) {
    return HeadKind.TEXT;
  }
  return isCut ? HeadKind.CUT : HeadKind.UNFINISHED;
}

/** Judges a head that is cut short before other text, by its lines up to there. */
function findCutVerdict(judgeHead: JudgeHead, { status, headers }: HeadReading): HeadVerdict {
  const verdict = headers.length === 0 ? HeadVerdict.BODY : judgeHead(status, headers);
  return verdict === HeadVerdict.BODY ? verdict : HeadVerdict.UNCERTAIN;
}

/** Judges the bytes from a possible status line on; no verdict while more bytes decide. */
function judgeBytes(
  judgeHead: JudgeHead,
  reading: HeadReading,
  bytes: Buffer,
): { kind: HeadKind; verdict: HeadVerdict | undefined } {
  const kind = readHead(reading, bytes.subarray(0, MAX_HEAD_BYTES));
  if (kind === HeadKind.UNFINISHED) {
    return { kind, verdict: bytes.length > MAX_HEAD_BYTES ? HeadVerdict.BODY : undefined };
  }
  const verdict =
    kind === HeadKind.WHOLE
      ? judgeHead(reading.status, reading.headers)
      : findCutVerdict(judgeHead, reading);
  return { kind, verdict };
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
  return { judgeHead, held: EMPTY, headAt: 0, isBehindCut: false, reading: createReading() };
}

/** Takes the bytes that are held back out of a scan. */
function takeHeld(scan: ResponseScan): Buffer {
  const { held } = scan;
  Object.assign(scan, { held: EMPTY, headAt: 0, isBehindCut: false, reading: createReading() });
  return held;
}

/** A possible head, and where the cut ones before it begin. */
type HeadPlace = { from: number; at: number; isBehindCut: boolean };

/** Finds the next possible head behind an offset; `at` is -1 if there is none. */
function findPlace(bytes: Buffer, offset: number): HeadPlace {
  const at = bytes.indexOf(MARK, offset);
  return { from: at === -1 ? -1 : findCutStart(bytes, at), at, isBehindCut: false };
}

/** Finds the head that has cut another one short, which belongs to the same sequence. */
function findPlaceBehindCut(place: HeadPlace, bytes: Buffer, reading: HeadReading): HeadPlace {
  const at = place.at + reading.furtherAt;
  return at - place.from > MAX_HEAD_BYTES
    ? findPlace(bytes, at)
    : { from: place.from, at, isBehindCut: true };
}

/** Adds a chunk of the body; returns what belongs to the body for certain. */
export function scanChunk(scan: ResponseScan, chunk: Buffer): ScanResult {
  const bytes = scan.held.length === 0 ? chunk : Buffer.concat([scan.held, chunk]);
  const { judgeHead, headAt, isBehindCut } = scan;
  let { reading } = scan;
  let place =
    headAt === 0 && reading.searchAt === 1
      ? findPlace(bytes, 0)
      : { from: 0, at: headAt, isBehindCut };
  takeHeld(scan);
  while (place.at !== -1) {
    const { kind, verdict } = judgeBytes(judgeHead, reading, bytes.subarray(place.at));
    const body = bytes.subarray(0, place.from);
    if (verdict === undefined) {
      const held = bytes.subarray(place.from);
      const next = { headAt: place.at - place.from, isBehindCut: place.isBehindCut };
      Object.assign(scan, { held, reading, ...next });
      return { body, next: HeadVerdict.BODY };
    }
    if (verdict !== HeadVerdict.BODY) {
      // A head that is cut just before may be text of the body, or another response.
      return { body, next: place.from < place.at ? HeadVerdict.UNCERTAIN : verdict };
    }
    place =
      kind === HeadKind.CUT
        ? findPlaceBehindCut(place, bytes, reading)
        : findPlace(bytes, place.at + 1);
    reading = createReading();
  }
  const end = findLastCutStart(bytes);
  scan.held = bytes.subarray(end);
  return { body: bytes.subarray(0, end), next: HeadVerdict.BODY };
}

/** Completes the scan of a body that ends with its connection; a head may have been cut short there. */
export function completeScan(scan: ResponseScan): ScanResult {
  const { judgeHead, headAt, isBehindCut, reading } = scan;
  const bytes = takeHeld(scan);
  // Text may well end with the name of the protocol, but hardly with a whole status line.
  if (reading.status === 0 && !isBehindCut) {
    return { body: bytes, next: HeadVerdict.BODY };
  }
  const isProven =
    headAt === 0 && judgeHead(reading.status, reading.headers) === HeadVerdict.RESPONSE;
  return { body: EMPTY, next: isProven ? HeadVerdict.RESPONSE : HeadVerdict.UNCERTAIN };
}

/** Completes the scan of a body whose length is complete: bytes that are held back belong to it. */
export function releaseHeld(scan: ResponseScan): ScanResult {
  return { body: takeHeld(scan), next: HeadVerdict.BODY };
}
