/** The task that runs attempts on the engine and reports its responses. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as undici from 'undici';
import * as engineConnection from './engine-connection.js';
import * as engineResponse from './engine-response.js';
import * as runProgress from './run-progress.js';

export type EngineClient = {
  start: (refKey: string, offer: schema.Offer) => void;
  cancel: (refKey: string) => void;
  stop: () => void;
};

type EngineClientOptions = engineResponse.ResponseOptions & {
  engineUrl: string;
  /** Called when an attempt ends with a fault, before the fault is reported. */
  onFault: () => void;
};

const STREAMS_PATH = '/v1/streams/';

/** Maximum number of resumptions of one run before it fails. */
const MAX_RESUMPTIONS = 5;

const { ResponseError } = engineResponse;
/** Error codes of a response that an engine may be able to continue. */
const BROKEN_CODES: string[] = [
  ResponseError.UNPROVEN_END,
  ResponseError.EXTRA_RESPONSE,
  ResponseError.NOT_REPEATED,
  'ECONNRESET',
  'EPIPE',
  'UND_ERR_SOCKET',
  'UND_ERR_RES_CONTENT_LENGTH_MISMATCH',
];

/** Error codes of a response that ends wrong though the engine has not crashed. */
const ALIVE_CODES: string[] = [
  ResponseError.EXTRA_RESPONSE,
  ResponseError.NOT_REPEATED,
  ResponseError.OTHER_RESPONSE,
  ResponseError.INVALID_HEAD,
];

/** Error code of an engine that does not know a run. */
const UNKNOWN_RUN = 'UNKNOWN_RUN';

/** Name of the error that the HTTP library throws for a connection that ends during a response. */
const PARSER_ERROR = 'HTTPParserError';

/** Returns the code of an error of the HTTP library. */
function getCode(error: unknown): string {
  return (error as { code?: string }).code ?? '';
}

/** Returns the fault of an attempt that cannot be resumed. */
function toFault(hasCrashed: boolean): core.EngineFault {
  return hasCrashed ? core.EngineFault.CRASHED : core.EngineFault.FAILED;
}

/** Whether the engine still responds, as far as an error shows. */
function isAlive(error: unknown): boolean {
  return ALIVE_CODES.includes(getCode(error));
}

/** Whether an established connection broke before the end of the response, or may have. */
function isBroken(error: unknown): boolean {
  return BROKEN_CODES.includes(getCode(error)) || (error as Error).name === PARSER_ERROR;
}

/** Builds the URL under which the engine serves the stream of a run. */
function buildStreamUrl(engineUrl: string, refKey: string): URL {
  return new URL(`${STREAMS_PATH}${encodeURIComponent(refKey)}`, engineUrl);
}

/** Sends the request of a run and reports its response. */
async function sendRequest(
  options: EngineClientOptions,
  run: engineResponse.Run,
  offer: schema.Offer,
  { client, wasReset }: engineConnection.EngineConnection,
): Promise<void> {
  const response = await undici.request(new URL(offer.path, options.engineUrl), {
    method: offer.method,
    headers: { 'content-type': offer.contentType, 'x-request-id': run.refKey },
    body: offer.payload.length > 0 ? offer.payload : null,
    dispatcher: client,
    signal: run.controller.signal,
    reset: true,
  });
  await engineResponse.forwardResponse(options, run, response, wasReset);
}

/**
 * Resumes a run whose connection broke, if the engine still has it; it repeats the last bytes.
 *
 * Sending the request again would run it twice. An engine that does not know the
 * run has crashed in the meantime or cannot resume: in both cases the response
 * is lost, and the attempt fails as run.
 */
async function resumeRun(
  options: EngineClientOptions,
  run: engineResponse.Run,
  { client, wasReset }: engineConnection.EngineConnection,
): Promise<void> {
  const url = buildStreamUrl(options.engineUrl, run.refKey);
  url.searchParams.set('from', String(runProgress.computeResumeFrom(run.progress)));
  const response = await undici.request(url, {
    dispatcher: client,
    signal: run.controller.signal,
    reset: true,
  });
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw Object.assign(new Error('the engine does not know the run'), { code: UNKNOWN_RUN });
  }
  await engineResponse.forwardResponse(options, run, response, wasReset);
}

/** Resumes a broken run until it completes; returns the fault where it does not. */
async function resumeUntilEnd(
  options: EngineClientOptions,
  run: engineResponse.Run,
  connections: engineConnection.EngineConnections,
  brokenBy: unknown,
): Promise<core.EngineFault | undefined> {
  let hasCrashed = !isAlive(brokenBy);
  for (let resumptions = 0; resumptions < MAX_RESUMPTIONS; resumptions += 1) {
    try {
      await connections.run((connection) => resumeRun(options, run, connection));
      return undefined;
    } catch (error) {
      hasCrashed = getCode(error) === UNKNOWN_RUN ? hasCrashed : !isAlive(error);
      if (!isBroken(error)) {
        break;
      }
    }
  }
  return toFault(hasCrashed && !run.controller.signal.aborted);
}

/** Creates the client of one engine. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
  const { engineUrl, post } = options;
  const connections = engineConnection.createEngineConnections(engineUrl);
  const runs = new Map<string, engineResponse.Run>();

  const execute = async (
    run: engineResponse.Run,
    offer: schema.Offer,
  ): Promise<core.EngineFault | undefined> => {
    try {
      await connections.run((connection) => sendRequest(options, run, offer, connection));
      return undefined;
    } catch (error) {
      if (getCode(error) === 'ECONNREFUSED') {
        return core.EngineFault.UNREACHABLE;
      }
      const broken = isBroken(error) && !run.controller.signal.aborted;
      return broken && options.isModelEngine()
        ? resumeUntilEnd(options, run, connections, error)
        : toFault(broken && !isAlive(error));
    }
  };

  return {
    start: (refKey, offer) => {
      const run = { refKey, controller: new AbortController(), progress: undefined };
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
    stop: connections.stop,
  };
}
