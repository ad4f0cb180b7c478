/** The task that owns callers' connections. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as failureAnswer from './failure-answer.js';
import * as requestReader from './request-reader.js';

type CallerEffect = Extract<
  core.EntryEffect,
  { kind: 'answerHead' | 'answerData' | 'answerEnd' | 'answerFailure' }
>;

export type CallerServer = {
  port: number;
  answer: (effect: CallerEffect) => void;
  stop: () => void;
};

type CallerServerOptions = {
  host: string;
  port: number;
  limits: schema.CallerLimits | undefined;
  digestKey: string;
  post: (event: core.EntryEvent) => void;
};

const DEFAULT_MAX_CONNECTIONS = 10_000;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_BODY_TIMEOUT_MS = 60_000;

/** Ends a started stream with an error event and never with the normal end mark. */
function closeBroken(response: http.ServerResponse, body: string): void {
  const type = String(response.getHeader('content-type') ?? '');
  if (type.startsWith('text/event-stream')) {
    response.write(`event: error\ndata: ${body}\n\n`);
  }
  // Destroyed rather than ended: the missing last chunk tells a client that
  // the answer is not whole even where it ignores the event.
  response.destroy();
}

/** Sends a failure, before or after the answer began. */
function sendFailure(
  response: http.ServerResponse,
  effect: Extract<CallerEffect, { kind: 'answerFailure' }>,
): void {
  const answer = failureAnswer.buildFailureAnswer(effect);
  if (response.headersSent) {
    closeBroken(response, answer.body);
    return;
  }
  response.writeHead(answer.status, answer.headers).end(answer.body);
}

/** Carries out one effect on a caller's connection. */
function applyEffect(response: http.ServerResponse, effect: CallerEffect): void {
  switch (effect.kind) {
    case 'answerHead':
      response.writeHead(effect.status, { 'content-type': effect.contentType });
      return;
    case 'answerData':
      response.write(effect.data);
      return;
    case 'answerEnd':
      response.end();
      return;
    default:
      sendFailure(response, effect);
  }
}

/** Creates the HTTP server with its limits. */
function createServer(
  limits: schema.CallerLimits | undefined,
  listener: http.RequestListener,
): http.Server {
  const server = http.createServer(
    {
      maxHeaderSize: limits?.maxHeaderBytes || DEFAULT_MAX_HEADER_BYTES,
      headersTimeout: limits?.headersTimeoutMs || DEFAULT_HEADERS_TIMEOUT_MS,
      requestTimeout: limits?.bodyTimeoutMs || DEFAULT_BODY_TIMEOUT_MS,
    },
    listener,
  );
  server.maxConnections = limits?.maxConnections || DEFAULT_MAX_CONNECTIONS;
  return server;
}

/** Starts to listen. */
export async function startCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const { post } = options;
  const responses = new Map<number, http.ServerResponse>();
  let nextCallerId = 1;

  const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse) => {
    const callerId = nextCallerId;
    nextCallerId += 1;
    responses.set(callerId, response);
    response.on('close', () => {
      responses.delete(callerId);
      post({ kind: 'callerLeft', callerId });
    });
    const read = await requestReader.readRequest(request, callerId, options.digestKey);
    if (read.kind === 'read') {
      post({ kind: 'requestArrived', request: read.request });
      return;
    }
    const { code } = read;
    const runState = schema.RunState.NOT_RUN;
    sendFailure(response, {
      kind: 'answerFailure',
      callerId,
      requestId: '',
      code,
      runState,
      retryAfterMs: 0,
    });
  };

  const server = createServer(options.limits, (request, response) => {
    // A caller that leaves while its body is read has nobody to be told.
    handleRequest(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    answer: (effect) => {
      const response = responses.get(effect.callerId);
      if (response !== undefined) {
        applyEffect(response, effect);
      }
    },
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
