/**
 * The task that runs attempts on the engine and reports its responses.
 *
 * Each run has its own connection: on a keep-alive connection, a request may be
 * sent just as the engine closes it, which looks like a crash.
 */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as undici from 'undici';
import * as runProgress from './run-progress.js';

export type EngineClient = {
  start: (refKey: string, offer: schema.Offer) => void;
  cancel: (refKey: string) => void;
  stop: () => void;
};

type EngineClientOptions = {
  engineUrl: string;
  /**
   * Whether this is a model engine, whose streams can be resumed and cancelled.
   * On a plain service the same paths may have any other meaning.
   */
  isModelEngine: () => boolean;
  post: (event: core.AgentEvent) => void;
  /** Called when an attempt ends with a fault, before the fault is reported. */
  onFault: () => void;
};

/** One attempt that runs on the engine. */
type Run = {
  refKey: string;
  controller: AbortController;
  headSent: boolean;
  progress: runProgress.RunProgress;
};

const MAX_SUCCESS = 299;
const STREAMS_PATH = '/v1/streams/';

/** Maximum number of resumptions of one run before it fails. */
const MAX_RESUMPTIONS = 5;

/** Error code of a response that ended with its connection, and may be a part. */
const UNPROVEN = 'UNPROVEN_END';
/** Error code of a resumption that ended before it had repeated the last bytes received. */
const NOT_REPEATED = 'NOT_REPEATED';
/** Error code of a resumption that began with other bytes than the last ones received. */
const OTHER_RESPONSE = 'OTHER_RESPONSE';
/** Error codes of a connection that broke during a response. */
const BROKEN_CODES = [
  UNPROVEN,
  NOT_REPEATED,
  'ECONNRESET',
  'EPIPE',
  'UND_ERR_SOCKET',
  'UND_ERR_RES_CONTENT_LENGTH_MISMATCH',
];

/** Error codes with which a resumption fails though the engine still responds. */
const ALIVE_CODES = [NOT_REPEATED, OTHER_RESPONSE];

/** Name of the error that the HTTP library throws for a connection that ends during a response. */
const PARSER_ERROR = 'HTTPParserError';

/** Creates an error with a code. */
function makeError(code: string, message: string): Error {
  return Object.assign(new Error(message), { code });
}

/** Returns the code of an error of the HTTP library. */
function getCode(error: unknown): string {
  return (error as { code?: string }).code ?? '';
}

/** Returns the fault of an attempt that cannot be resumed. */
function toFault(broken: boolean): core.EngineFault {
  return broken ? core.EngineFault.CRASHED : core.EngineFault.FAILED;
}

/** Whether an established connection broke before the end of the response. */
function isBroken(error: unknown): boolean {
  return BROKEN_CODES.includes(getCode(error)) || (error as Error).name === PARSER_ERROR;
}

/** Builds the URL under which the engine serves the stream of a run. */
function buildStreamUrl(engineUrl: string, refKey: string): URL {
  return new URL(`${STREAMS_PATH}${encodeURIComponent(refKey)}`, engineUrl);
}

/** Returns whether only the end of its connection ends a response (RFC 9112, section 6.3). */
function isOpenEnded({ headers }: undici.Dispatcher.ResponseData): boolean {
  const coding = [headers['transfer-encoding'] ?? []].flat().join();
  return coding === ''
    ? headers['content-length'] === undefined
    : !/(^|,)\s*chunked\s*$/i.test(coding);
}

/**
 * Reports a response while it arrives.
 *
 * An engine that crashes ends its connections like one that has finished, and the library hides a
 * reset. A model engine is therefore asked for the rest of an open-ended response; nothing more than
 * the repeated bytes, from an engine that knows the run, shows that it is complete.
 */
async function forwardResponse(
  options: EngineClientOptions,
  run: Run,
  response: undici.Dispatcher.ResponseData,
): Promise<void> {
  const { refKey } = run;
  if (!run.headSent) {
    run.headSent = true;
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
    options.post({ kind: 'engineHead', refKey, status: response.statusCode, contentType });
  }
  const newBytes = await forwardBody(options, run, response);
  const isResumed = newBytes < run.progress.receivedBytes;
  const isProven = response.statusCode > MAX_SUCCESS || (isResumed && newBytes === 0);
  if (options.isModelEngine() && isOpenEnded(response) && !isProven) {
    throw makeError(UNPROVEN, 'the end of the response is not known');
  }
  options.post({ kind: 'engineEnd', refKey });
}

/** Reports the new bytes of a response while they arrive; returns their number. */
async function forwardBody(
  { post }: EngineClientOptions,
  { refKey, progress }: Run,
  response: undici.Dispatcher.ResponseData,
): Promise<number> {
  const before = progress.receivedBytes;
  let left = progress.lastBytes;
  for await (const bytes of response.body as AsyncIterable<Buffer>) {
    const taken = runProgress.takeRepeated(left, bytes);
    if (taken === undefined) {
      throw makeError(OTHER_RESPONSE, 'the engine resumed with other bytes');
    }
    left = taken.left;
    if (taken.rest.length > 0) {
      runProgress.recordReceived(progress, taken.rest);
      post({ kind: 'engineData', refKey, data: taken.rest });
    }
  }
  if (left.length > 0) {
    throw makeError(NOT_REPEATED, 'the engine did not repeat the last bytes');
  }
  return progress.receivedBytes - before;
}

/**
 * Resumes a run whose connection broke, if the engine still has it; it repeats the last bytes.
 *
 * Sending the request again would run it twice. An engine that does not know the
 * run has crashed in the meantime or cannot resume: in both cases the response
 * is lost, and the attempt fails as run.
 */
async function resumeRun(options: EngineClientOptions, run: Run): Promise<void> {
  const url = buildStreamUrl(options.engineUrl, run.refKey);
  url.searchParams.set('from', String(runProgress.computeResumeFrom(run.progress)));
  const response = await undici.request(url, { signal: run.controller.signal, reset: true });
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw new Error('the engine does not know the run');
  }
  await forwardResponse(options, run, response);
}

/** Resumes a broken run until it completes; returns the fault where it does not. */
async function resumeUntilEnd(
  options: EngineClientOptions,
  run: Run,
): Promise<core.EngineFault | undefined> {
  let isAlive = false;
  for (let resumptions = 0; resumptions < MAX_RESUMPTIONS; resumptions += 1) {
    try {
      await resumeRun(options, run);
      return undefined;
    } catch (error) {
      isAlive = ALIVE_CODES.includes(getCode(error));
      if (!isBroken(error)) {
        break;
      }
    }
  }
  return toFault(!isAlive && !run.controller.signal.aborted);
}

/** Creates the client of one engine. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
  const { engineUrl, post } = options;
  const dispatcher = new undici.Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0 });
  const runs = new Map<string, Run>();

  const send = async (run: Run, offer: schema.Offer) => {
    const response = await undici.request(new URL(offer.path, engineUrl), {
      method: offer.method,
      headers: { 'content-type': offer.contentType, 'x-request-id': run.refKey },
      body: offer.payload.length > 0 ? offer.payload : null,
      dispatcher,
      signal: run.controller.signal,
      reset: true,
    });
    await forwardResponse(options, run, response);
  };
  const execute = async (run: Run, offer: schema.Offer): Promise<core.EngineFault | undefined> => {
    try {
      await send(run, offer);
      return undefined;
    } catch (error) {
      if (getCode(error) === 'ECONNREFUSED') {
        return core.EngineFault.UNREACHABLE;
      }
      const broken = isBroken(error) && !run.controller.signal.aborted;
      return broken && options.isModelEngine() ? resumeUntilEnd(options, run) : toFault(broken);
    }
  };

  return {
    start: (refKey, offer) => {
      const run = {
        refKey,
        controller: new AbortController(),
        headSent: false,
        progress: runProgress.createProgress(),
      };
      runs.set(refKey, run);
      execute(run, offer).then((fault) => {
        runs.delete(refKey);
        if (fault !== undefined) {
          options.onFault();
          post({ kind: 'engineFailed', refKey, fault });
        }
      });
    },
    cancel: (refKey) => {
      runs.get(refKey)?.controller.abort();
      if (!options.isModelEngine()) {
        return;
      }
      // A resumable run continues without a connection, so it is cancelled explicitly.
      undici
        .request(buildStreamUrl(engineUrl, refKey), { method: 'DELETE', reset: true })
        .then((response) => response.body.dump())
        .catch(options.onFault);
    },
    stop: () => {
      dispatcher.destroy();
    },
  };
}
