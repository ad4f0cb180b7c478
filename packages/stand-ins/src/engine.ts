/**
 * A stand-in for a model engine: continuous batching, a prompt prefix cache in
 * bounded memory and an OpenAI-style interface. It has no tiers and runs requests
 * in the order of arrival. A journal file persists across its crashes.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as engineBatch from './engine-batch.js';
import * as engineCache from './engine-cache.js';

export type EngineOptions = {
  host: string;
  port: number;
  /** Duration of one engine step, milliseconds. */
  stepMs: number;
  /** Maximum number of requests in the batch. */
  maxBatch: number;
  /** Prompt tokens of each request that one step processes. */
  prefillTokensPerStep: number;
  /** Maximum number of prompt blocks in the prefix cache. */
  cacheBlocks: number;
  /** Whether a broken stream can be resumed; otherwise a closed connection cancels its run. */
  resumable: boolean;
  /** File to which one JSON line is appended per start, end and cancel; empty for none. */
  journalFile: string;
  /** Called when a request contains `CRASH_MARK`. */
  crash: () => void;
};

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  host: '127.0.0.1',
  port: 0,
  stepMs: 4,
  maxBatch: 16,
  prefillTokensPerStep: 512,
  cacheBlocks: 4096,
  resumable: true,
  journalFile: '',
  crash: () => process.exit(1),
};

/** Text that makes the stand-in crash when a request contains it. */
export const CRASH_MARK = 'CRASH-ENGINE';

export type Engine = { port: number; setStepMs: (stepMs: number) => void; stop: () => void };

const STREAMS_PATH = '/v1/streams/';

const DEFAULT_RESPONSE_TOKENS = 16;

/** Maximum number of runs that are kept to be resumed. */
const MAX_RETAINED_RUNS = 256;

/** How long a resumable run continues without a connection, milliseconds. */
const DETACHED_TIMEOUT_MS = 5000;

type EngineState = {
  options: EngineOptions;
  batch: engineBatch.Batch;
  cache: engineCache.PrefixCache;
  /** Runs that can be resumed, by request id, the oldest first. */
  retained: Map<string, engineBatch.Run>;
  sockets: Set<net.Socket>;
  setStepMs: (stepMs: number) => void;
};

/** Appends one line to the journal. */
function writeJournal(state: EngineState, event: string, run: engineBatch.Run): void {
  if (state.options.journalFile !== '') {
    const { requestId, promptDigest } = run;
    const line = JSON.stringify({ event, requestId, promptDigest });
    fs.appendFileSync(state.options.journalFile, `${line}\n`);
  }
}

/** Hashes a prompt, so that a test can check to which request a response belongs. */
export function hashPrompt(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/** Cancels a run that has not ended. */
function cancelRun(state: EngineState, run: engineBatch.Run): void {
  if (engineBatch.removeRun(state.batch, run)) {
    writeJournal(state, 'cancel', run);
    state.retained.delete(run.requestId);
    run.response?.destroy();
  }
}

/** Sends a run's response to a connection, from a byte offset on. */
function sendOutput(
  state: EngineState,
  run: engineBatch.Run,
  response: http.ServerResponse,
  from: number,
): void {
  const contentType = run.stream ? 'text/event-stream' : 'application/json';
  response.writeHead(200, { 'content-type': contentType });
  const missing = run.output.slice(from);
  if (missing !== '') {
    response.write(missing);
  }
  if (run.ended) {
    response.end();
    return;
  }
  run.response = response;
  response.on('close', () => {
    if (run.response !== response) {
      return;
    }
    run.response = undefined;
    const waitMs = state.options.resumable ? DETACHED_TIMEOUT_MS : 0;
    setTimeout(() => run.response === undefined && cancelRun(state, run), waitMs).unref();
  });
}

/** Keeps a run, so that it can be resumed; drops the oldest beyond the maximum. */
function keepRun(state: EngineState, run: engineBatch.Run): void {
  state.retained.set(run.requestId, run);
  const [oldest] = state.retained.keys();
  if (state.retained.size > MAX_RETAINED_RUNS) {
    state.retained.delete(oldest);
  }
}

/** Queues the run of one completion request. */
function enqueueRun(
  state: EngineState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  text: string,
): void {
  const body = JSON.parse(text) as { stream?: boolean; max_tokens?: number };
  const run: engineBatch.Run = {
    requestId: String(request.headers['x-request-id'] ?? ''),
    stream: body.stream === true,
    promptDigest: hashPrompt(text),
    prefillLeft: engineCache.addPrompt(state.cache, text),
    tokensLeft: body.max_tokens ?? DEFAULT_RESPONSE_TOKENS,
    words: [],
    output: '',
    ended: false,
    response: undefined,
  };
  writeJournal(state, 'start', run);
  if (text.includes(CRASH_MARK)) {
    state.options.crash();
    return;
  }
  keepRun(state, run);
  sendOutput(state, run, response, 0);
  state.batch.waiting.push(run);
}

/** Serves a resumption or a cancellation. */
function serveStream(
  state: EngineState,
  method: string,
  url: URL,
  response: http.ServerResponse,
): void {
  const requestId = decodeURIComponent(url.pathname.slice(STREAMS_PATH.length));
  const run = state.options.resumable ? state.retained.get(requestId) : undefined;
  if (run === undefined) {
    response.writeHead(404).end();
  } else if (method === 'DELETE') {
    cancelRun(state, run);
    response.writeHead(204).end();
  } else {
    sendOutput(state, run, response, Number(url.searchParams.get('from') ?? 0));
  }
}

/** Reads a request body as text. */
export async function readText(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Serves one call. */
async function serve(
  state: EngineState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://engine');
  const text = await readText(request);
  if (url.pathname.startsWith(STREAMS_PATH)) {
    serveStream(state, request.method ?? '', url, response);
  } else if (url.pathname === '/health') {
    response.writeHead(200).end('ok');
  } else if (url.pathname === '/test/step-ms') {
    state.setStepMs(Number(text));
    response.writeHead(204).end();
  } else if (url.pathname === '/test/break') {
    // Breaks every connection while the engine keeps running.
    state.sockets.forEach((socket) => socket.destroy());
  } else {
    enqueueRun(state, request, response, text);
  }
}

/** Creates the state of an engine. */
function createState(options: EngineOptions): EngineState {
  const { maxBatch, prefillTokensPerStep, cacheBlocks } = options;
  return {
    options,
    batch: { waiting: [], running: [], maxBatch, prefillTokensPerStep },
    cache: { blocks: new Set(), maxBlocks: cacheBlocks },
    retained: new Map(),
    sockets: new Set(),
    setStepMs: () => {},
  };
}

/** Starts an engine. */
export async function startEngine(given: Partial<EngineOptions>): Promise<Engine> {
  const options = { ...DEFAULT_ENGINE_OPTIONS, ...given };
  const state = createState(options);
  const server = http.createServer((request, response) => {
    serve(state, request, response).catch(() => response.writeHead(400).end());
  });
  server.on('connection', (socket) => {
    state.sockets.add(socket);
    socket.on('close', () => state.sockets.delete(socket));
  });
  const step = () =>
    engineBatch.advance(state.batch).forEach((run) => writeJournal(state, 'end', run));
  let timer = setInterval(step, options.stepMs);
  state.setStepMs = (stepMs) => {
    clearInterval(timer);
    timer = setInterval(step, stepMs);
  };
  await new Promise<void>((resolve) => {
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    setStepMs: state.setStepMs,
    stop: () => {
      clearInterval(timer);
      options.journalFile = '';
      server.close();
      server.closeAllConnections();
    },
  };
}
