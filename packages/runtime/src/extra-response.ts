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

export type ResponseScan = {
  judgeHead: JudgeHead;
  /** Bytes that may be the beginning of a head. */
  held: Buffer;
};

/** Bytes that belong to the body, and what follows them. */
export type ScanResult = { body: Buffer; next: HeadVerdict };

type ParsedHead = {
  isWhole: boolean;
  /** 0 while the status line has not ended. */
  status: number;
  headers: string[];
};

const EMPTY = Buffer.alloc(0);
const MARK = Buffer.from('HTTP/1.');
const BLANK_LINES = ['\n\r\n', '\n\n'];
/** A longer head counts as text of the body; bytes. */
const MAX_HEAD_BYTES = 16_384;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: .*)?\r?$/;
/** The first bytes of a status line, or as many of them as have arrived. */
const STATUS_BEGINNING = /^HTTP\/1\.(?:$|[01](?:$| (?:$|[1-9](?:$|\d(?:$|\d(?:$|[ \r\n]))))))/;
const STATUS_BEGINNING_BYTES = 13;
const FURTHER_STATUS = /^HTTP\/1\.[01] [1-9]\d\d/;
const FIELD_LINE = /^([!#$%&'*+.^_`|~\w-]+):[ \t]*(.*?)[ \t]*\r?$/;
const FIELD_LINE_BEGINNING = /^(?:[!#$%&'*+.^_`|~\w-]*(?::.*)?|[ \t].*)\r?$/;
const FOLDED_LINE = /^[ \t]/;

/** Reads the first bytes of what may be a status line. */
function readStatusBeginning(bytes: Buffer, at: number): string {
  return bytes.toString('latin1', at, at + STATUS_BEGINNING_BYTES);
}

/** Parses the text after a status line, as far as it has arrived; undefined if it is no head. */
function parseFields(lines: string[], rest: string, status: number): ParsedHead | undefined {
  const headers: string[] = [];
  const end = lines.findIndex((line) => line === '' || line === '\r');
  const fieldLines = end === -1 ? lines : lines.slice(0, end);
  const isHead = fieldLines.every((line, at) => {
    if (at > 0 && FOLDED_LINE.test(line)) {
      return true;
    }
    const [, name, value] = FIELD_LINE.exec(line) ?? [];
    if (name !== undefined) {
      headers.push(name, value);
    }
    return name !== undefined;
  });
  const isWhole = end !== -1;
  return isHead && (isWhole || FIELD_LINE_BEGINNING.test(rest))
    ? { isWhole, status, headers }
    : undefined;
}

/** Finds the first further status line; -1 if there is none. */
function findFurtherStatus(bytes: Buffer): number {
  let at = bytes.indexOf(MARK, 1);
  while (at !== -1 && !FURTHER_STATUS.test(readStatusBeginning(bytes, at))) {
    at = bytes.indexOf(MARK, at + 1);
  }
  return at;
}

/** Finds the end of the first blank line; -1 if there is none. */
function findBlankEnd(bytes: Buffer): number {
  const ends = BLANK_LINES.map((blank) => ({ blank, at: bytes.indexOf(blank) }))
    .filter(({ at }) => at !== -1)
    .map(({ blank, at }) => at + blank.length);
  return ends.length === 0 ? -1 : Math.min(...ends);
}

/**
 * Finds the bytes of a head, or of the beginning of one; undefined if a second status line comes before
 * its end, so that the first one is text before another head.
 */
function findHead(bytes: Buffer): Buffer | undefined {
  const further = findFurtherStatus(bytes);
  const region = further === -1 ? bytes : bytes.subarray(0, further);
  const end = findBlankEnd(region);
  if (end !== -1) {
    return region.subarray(0, end);
  }
  return further === -1 ? region : undefined;
}

/** Parses a head, or the beginning of one; undefined if the text is none. */
function parseHead(bytes: Buffer): ParsedHead | undefined {
  if (!STATUS_BEGINNING.test(readStatusBeginning(bytes, 0))) {
    return undefined;
  }
  const lines = findHead(bytes.subarray(0, MAX_HEAD_BYTES))?.toString('latin1').split('\n');
  if (lines === undefined) {
    return undefined;
  }
  const rest = lines.pop() as string;
  if (lines.length === 0) {
    return { isWhole: false, status: 0, headers: [] };
  }
  const status = STATUS_LINE.exec(lines[0])?.[1];
  return status === undefined ? undefined : parseFields(lines.slice(1), rest, Number(status));
}

/** Judges the bytes from a possible status line on; undefined while more bytes decide. */
function findVerdict({ judgeHead }: ResponseScan, bytes: Buffer): HeadVerdict | undefined {
  const head = parseHead(bytes);
  if (head === undefined) {
    return HeadVerdict.BODY;
  }
  if (head.isWhole) {
    return judgeHead(head.status, head.headers);
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

/** Creates the scan of one response body. */
export function createResponseScan(judgeHead: JudgeHead): ResponseScan {
  return { judgeHead, held: EMPTY };
}

/** Adds a chunk of the body; returns what belongs to the body for certain. */
export function scanChunk(scan: ResponseScan, chunk: Buffer): ScanResult {
  const bytes = scan.held.length === 0 ? chunk : Buffer.concat([scan.held, chunk]);
  scan.held = EMPTY;
  let at = bytes.indexOf(MARK);
  while (at !== -1) {
    const verdict = findVerdict(scan, bytes.subarray(at));
    if (verdict === undefined) {
      scan.held = bytes.subarray(at);
      return { body: bytes.subarray(0, at), next: HeadVerdict.BODY };
    }
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
  scan.held = EMPTY;
  const head = bytes.length < MARK.length ? undefined : parseHead(bytes);
  // Text may well end with the name of the protocol, but hardly with a whole status line.
  if (head === undefined || head.status === 0) {
    return { body: bytes, next: HeadVerdict.BODY };
  }
  const verdict = scan.judgeHead(head.status, head.headers);
  const isProven = verdict === HeadVerdict.RESPONSE;
  return { body: EMPTY, next: isProven ? verdict : HeadVerdict.UNCERTAIN };
}

/** Completes the scan of a body whose length is complete: bytes that are held back belong to it. */
export function releaseHeld(scan: ResponseScan): ScanResult {
  const body = scan.held;
  scan.held = EMPTY;
  return { body, next: HeadVerdict.BODY };
}
