/**
 * The task that runs attempts on the engine and reports what it answers.
 *
 * Each run has a connection of its own: on one kept alive, a request may meet
 * the engine's closing of it, which looks like a crash.
 */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as undici from 'undici';

export type EngineClient = {
  start: (refKey: string, offer: schema.Offer) => void;
  cancel: (refKey: string) => void;
  stop: () => void;
};

type EngineClientOptions = {
  engineUrl: string;
  /**
   * Whether this is a model engine, whose streams can be resumed and cancelled.
   * On a plain service the same paths may mean anything.
   */
  isModelEngine: () => boolean;
  post: (event: core.AgentEvent) => void;
  /** Called when an attempt met a fault, before it is reported. */
  noticeFault: () => void;
};

/** One attempt on its way through the engine. */
type Run = {
  refKey: string;
  controller: AbortController;
  headSent: boolean;
  /** Bytes of the answer received so far. */
  received: number;
};

const STREAMS_PATH = '/v1/streams/';

/** Connections that may break in one run before it is given up. */
const MAX_RESUMPTIONS = 5;

const BROKEN_CODES = [
  'ECONNRESET',
  'EPIPE',
  'UND_ERR_SOCKET',
  'UND_ERR_RES_CONTENT_LENGTH_MISMATCH',
];

/** What the HTTP library throws where a connection ends in the middle of an answer. */
const PARSER_ERROR = 'HTTPParserError';

/** Gets the code of an error of the HTTP library. */
function getCode(error: unknown): string {
  return (error as { code?: string }).code ?? '';
}

/** Says what an error means for an attempt that cannot be resumed. */
function toFault(broken: boolean): core.EngineFault {
  return broken ? core.EngineFault.CRASHED : core.EngineFault.FAILED;
}

/** Tells whether a connection that had been made broke before the answer's end. */
function isBroken(error: unknown): boolean {
  return BROKEN_CODES.includes(getCode(error)) || (error as Error).name === PARSER_ERROR;
}

/** Builds the address of a run's stream. */
function buildStreamUrl(engineUrl: string, refKey: string): URL {
  return new URL(`${STREAMS_PATH}${encodeURIComponent(refKey)}`, engineUrl);
}

/** Reports an answer as it comes. */
async function passAnswer(
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
  for await (const data of response.body) {
    run.received += (data as Buffer).length;
    options.post({ kind: 'engineData', refKey, data });
  }
  options.post({ kind: 'engineEnd', refKey });
}

/**
 * Goes on with a run whose connection broke, where the engine still has it.
 *
 * Sending the request again instead would run it twice. An engine that does not
 * know the run has crashed in between, or cannot resume: either way the run is
 * lost, and is reported as run.
 */
async function resumeRun(options: EngineClientOptions, run: Run): Promise<void> {
  const url = buildStreamUrl(options.engineUrl, run.refKey);
  url.searchParams.set('from', String(run.received));
  const response = await undici.request(url, { signal: run.controller.signal, reset: true });
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw new Error('the engine does not know the run');
  }
  await passAnswer(options, run, response);
}

/** Resumes a broken run until it ends; the fault that ended it otherwise. */
async function resumeUntilEnd(
  options: EngineClientOptions,
  run: Run,
): Promise<core.EngineFault | undefined> {
  for (let resumptions = 0; resumptions < MAX_RESUMPTIONS; resumptions += 1) {
    try {
      await resumeRun(options, run);
      return undefined;
    } catch (error) {
      if (!isBroken(error)) {
        break;
      }
    }
  }
  return run.controller.signal.aborted ? core.EngineFault.FAILED : core.EngineFault.CRASHED;
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
    await passAnswer(options, run, response);
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
      const run = { refKey, controller: new AbortController(), headSent: false, received: 0 };
      runs.set(refKey, run);
      execute(run, offer).then((fault) => {
        runs.delete(refKey);
        if (fault !== undefined) {
          options.noticeFault();
          post({ kind: 'engineFailed', refKey, fault });
        }
      });
    },
    cancel: (refKey) => {
      runs.get(refKey)?.controller.abort();
      if (!options.isModelEngine()) {
        return;
      }
      // An engine that lets streams be resumed runs on without a connection.
      undici
        .request(buildStreamUrl(engineUrl, refKey), { method: 'DELETE', reset: true })
        .then((response) => response.body.dump())
        .catch(options.noticeFault);
    },
    stop: () => {
      dispatcher.destroy();
    },
  };
}
