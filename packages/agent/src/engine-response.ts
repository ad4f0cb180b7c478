/** Reads the responses of an engine and reports them while they arrive. */
import * as core from '@toucanproxy/core';
import * as runtime from '@toucanproxy/runtime';
import type * as undici from 'undici';
import * as contentState from './content-state.js';
import * as runProgress from './run-progress.js';

/** Codes of errors with which a response ends. */
export enum ResponseError {
  /** The response ended with its connection, and may be a part. */
  UNPROVEN_END = 'UNPROVEN_END',
  /** The connection of a response that only its connection ends was reset. */
  RESET = 'ECONNRESET',
  /** The response ended with its connection, inside its content. */
  UNFINISHED = 'UNFINISHED',
  /** A further response began before the end of this one, or where it may not have ended. */
  EXTRA_RESPONSE = 'EXTRA_RESPONSE',
  /** A resumption ended before it had repeated the last bytes received. */
  NOT_REPEATED = 'NOT_REPEATED',
  /** A resumption began with other bytes than the last ones received. */
  OTHER_RESPONSE = 'OTHER_RESPONSE',
  /** The head is none of a response that can be passed on. */
  INVALID_HEAD = 'INVALID_HEAD',
}

/** What ends the body of a response. */
enum BodyFraming {
  LENGTH = 'length',
  CHUNKS = 'chunks',
  CONNECTION = 'connection',
}

/** One attempt that runs on the engine. */
export type Run = {
  refKey: string;
  controller: AbortController;
  /** Undefined until the head of its response has been reported. */
  progress: runProgress.RunProgress | undefined;
};

export type ResponseOptions = {
  /**
   * Whether this is a model engine, whose streams can be resumed and cancelled.
   * On a plain service the same paths may have any other meaning.
   */
  isModelEngine: () => boolean;
  post: (event: core.AgentEvent) => void;
  /** Called when a further response was found inside a body, or may have been. */
  onExtraResponse?: (refKey: string) => void;
};

const MAX_SUCCESS = 299;
/** A higher status is none (RFC 9110, section 15); the HTTP parser accepts any of three digits. */
const MAX_STATUS = 599;
const CHUNKED = 'chunked';
/** Transfer codings after which the body is that of the engine. */
const DECODED_CODINGS = [CHUNKED, 'identity', undefined];
const STATUSES_WITHOUT_BODY = [204, 304];
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Creates an error with a code. */
function makeError(code: ResponseError): Error {
  return Object.assign(new Error(code), { code });
}

/**
 * Finds the transfer codings as the HTTP parser reads them, in lower case: it leaves out spaces around
 * them, but no other white space, and takes a coding that it does not know for the body.
 */
function findTransferCoding({ headers }: undici.Dispatcher.ResponseData): string | undefined {
  const value = headers['transfer-encoding'];
  return value === undefined
    ? undefined
    : [value].flat().join().toLowerCase().replace(/^ +/, '').replace(/ +$/, '');
}

/** Finds what ends the body of a response (RFC 9112, section 6.3). */
function findFraming(response: undici.Dispatcher.ResponseData): BodyFraming {
  const { statusCode, headers } = response;
  if (STATUSES_WITHOUT_BODY.includes(statusCode)) {
    return BodyFraming.LENGTH;
  }
  const coding = findTransferCoding(response);
  if (coding !== undefined) {
    return coding === CHUNKED ? BodyFraming.CHUNKS : BodyFraming.CONNECTION;
  }
  return headers['content-length'] === undefined ? BodyFraming.CONNECTION : BodyFraming.LENGTH;
}

/** Finds the error that a head shows, if it shows any. */
function findHeadError(response: undici.Dispatcher.ResponseData): ResponseError | undefined {
  const { statusCode, statusText, headers } = response;
  const values = Object.values(headers).flatMap((value) => value ?? []);
  if (runtime.hasFurtherHead(statusText, values)) {
    return ResponseError.EXTRA_RESPONSE;
  }
  const isCoded = !DECODED_CODINGS.includes(findTransferCoding(response));
  const isInvalid = statusCode > MAX_STATUS || (statusCode <= MAX_SUCCESS && isCoded);
  return isInvalid ? ResponseError.INVALID_HEAD : undefined;
}

/** Throws if the head of a response shows an error; its body is not read. */
function checkHead(
  { onExtraResponse }: ResponseOptions,
  { refKey }: Run,
  response: undici.Dispatcher.ResponseData,
): void {
  const code = findHeadError(response);
  if (code === ResponseError.EXTRA_RESPONSE) {
    onExtraResponse?.(refKey);
  }
  if (code !== undefined) {
    response.body.on('error', () => {}).destroy();
    throw makeError(code);
  }
}

/** Reports the head of a response, once for a run. */
function reportHead(
  { post }: ResponseOptions,
  run: Run,
  { statusCode: status, headers }: undici.Dispatcher.ResponseData,
): runProgress.RunProgress {
  if (run.progress === undefined) {
    const contentType = String(headers['content-type'] ?? DEFAULT_CONTENT_TYPE);
    run.progress = runProgress.createProgress(contentType);
    post({ kind: 'engineHead', refKey: run.refKey, status, contentType });
  }
  return run.progress;
}

/** Creates the scan of a body. Chunks show by themselves what belongs to it. */
function createScan(
  { content }: runProgress.RunProgress,
  { refKey: requestId }: Run,
  response: undici.Dispatcher.ResponseData,
): runtime.ResponseScan {
  const { statusCode: status, headers } = response;
  const judge = contentState.createHeadJudge(content, { status, headers, requestId });
  const isChunked = findFraming(response) === BodyFraming.CHUNKS;
  return runtime.createResponseScan(isChunked ? () => runtime.HeadVerdict.BODY : judge);
}

/** Returns what is left of a body that has ended by its framing. */
function completeBody(
  { held }: runtime.ResponseScan,
  { content }: runProgress.RunProgress,
  framing: BodyFraming,
): runtime.ScanResult {
  return held.length === 0 ||
    framing === BodyFraming.CHUNKS ||
    contentState.isEndOfBody(content, held)
    ? { body: held, next: runtime.HeadVerdict.BODY }
    : { body: Buffer.alloc(0), next: runtime.HeadVerdict.UNCERTAIN };
}

/** Reports the new bytes of a response up to its end or up to a further response. */
async function forwardBody(
  { post, onExtraResponse }: ResponseOptions,
  run: Run,
  progress: runProgress.RunProgress,
  response: undici.Dispatcher.ResponseData,
): Promise<runtime.HeadVerdict> {
  let left = progress.lastBytes;
  const scan = createScan(progress, run, response);
  const receive = (result: runtime.ScanResult) => {
    const taken = runProgress.takeRepeated(left, result.body);
    if (taken === undefined) {
      throw makeError(ResponseError.OTHER_RESPONSE);
    }
    left = taken.left;
    if (taken.rest.length > 0) {
      runProgress.recordReceived(progress, taken.rest);
      post({ kind: 'engineData', refKey: run.refKey, data: taken.rest });
    }
    return result.next;
  };
  let next = runtime.HeadVerdict.BODY;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    next = receive(runtime.scanChunk(scan, chunk));
    if (next !== runtime.HeadVerdict.BODY) {
      break;
    }
  }
  if (next === runtime.HeadVerdict.BODY) {
    next = receive(completeBody(scan, progress, findFraming(response)));
  }
  if (next !== runtime.HeadVerdict.BODY) {
    onExtraResponse?.(run.refKey);
  }
  if (left.length > 0) {
    throw makeError(ResponseError.NOT_REPEATED);
  }
  return next;
}

/**
 * Reports a response while it arrives.
 *
 * An engine that crashes may end its connections like one that has finished. A model engine is therefore asked for the rest of an open-ended response; nothing more than
 * the repeated bytes, from an engine that knows the run, shows that it is complete. A plain service
 * cannot be asked; its content shows whether it has broken off, if anything does.
 */
export async function forwardResponse(
  options: ResponseOptions,
  run: Run,
  response: undici.Dispatcher.ResponseData,
  wasReset: () => boolean,
): Promise<void> {
  checkHead(options, run, response);
  const isResumed = run.progress !== undefined && run.progress.receivedBytes > 0;
  const progress = reportHead(options, run, response);
  const before = progress.receivedBytes;
  const isOpenEnded = findFraming(response) === BodyFraming.CONNECTION;
  const end = await forwardBody(options, run, progress, response);
  const isWhole =
    end === runtime.HeadVerdict.BODY ||
    (end === runtime.HeadVerdict.RESPONSE &&
      isOpenEnded &&
      !contentState.isUnfinished(progress.content));
  if (!isWhole) {
    throw makeError(ResponseError.EXTRA_RESPONSE);
  }
  if (isOpenEnded && wasReset()) {
    throw makeError(ResponseError.RESET);
  }
  const hasNothingNew = isResumed && progress.receivedBytes === before;
  const isProven = response.statusCode > MAX_SUCCESS || hasNothingNew;
  if (isOpenEnded && options.isModelEngine() && !isProven) {
    throw makeError(ResponseError.UNPROVEN_END);
  }
  if (isOpenEnded && !options.isModelEngine() && contentState.isUnfinished(progress.content)) {
    throw makeError(ResponseError.UNFINISHED);
  }
  options.post({ kind: 'engineEnd', refKey: run.refKey });
}
