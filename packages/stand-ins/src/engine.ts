/**
 * A stand-in for a model engine: continuous batching, a prompt prefix cache in
 * limited memory, an OpenAI-style interface. It knows no tiers and admits
 * requests as they arrive. A journal file outlives its crashes.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';

export type EngineOptions = {
  host: string;
  port: number;
  /** Duration of one engine step, milliseconds. */
  stepMs: number;
  /** Requests in one batch. */
  maxBatch: number;
  /** Prompt tokens worked through in one step. */
  prefillTokensPerStep: number;
  /** File that gets one JSON line for each start and end; empty for none. */
  journalFile: string;
  /** Called when a request holds the crash mark. */
  crash: () => void;
};

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  host: '127.0.0.1',
  port: 0,
  stepMs: 4,
  maxBatch: 16,
  prefillTokensPerStep: 512,
  journalFile: '',
  crash: () => process.exit(1),
};

/** Text in a prompt that makes the stand-in crash. */
export const CRASH_MARK = 'CRASH-ENGINE';

export type Engine = { port: number; setStepMs: (stepMs: number) => void; stop: () => void };

const BYTES_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 16;

type Run = {
  requestId: string;
  response: http.ServerResponse;
  stream: boolean;
  promptDigest: string;
  prefillLeft: number;
  tokensLeft: number;
  words: string[];
};

type EngineState = {
  options: EngineOptions;
  waiting: Run[];
  batch: Run[];
};

/** Adds one line to the journal. */
function writeJournal(state: EngineState, event: string, run: Run): void {
  if (state.options.journalFile !== '') {
    const { requestId, promptDigest } = run;
    const line = JSON.stringify({ event, requestId, promptDigest });
    fs.appendFileSync(state.options.journalFile, `${line}\n`);
  }
}

/** Formats one streamed token. */
function formatChunk(word: string): string {
  return `data: ${JSON.stringify({ object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content: word } }] })}\n\n`;
}

/** Ends a run whose every token is out. */
function endRun(state: EngineState, run: Run): void {
  writeJournal(state, 'end', run);
  if (run.stream) {
    run.response.end('data: [DONE]\n\n');
    return;
  }
  const content = run.words.join('');
  const message = { role: 'assistant', content };
  const body = {
    id: run.requestId,
    object: 'chat.completion',
    choices: [{ index: 0, message, finish_reason: 'stop' }],
  };
  run.response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/** Gives one run its part of a step; true once it has ended. */
function advanceRun(state: EngineState, run: Run): boolean {
  if (run.prefillLeft > 0) {
    run.prefillLeft -= state.options.prefillTokensPerStep;
    return false;
  }
  const word = `${run.promptDigest.slice(0, 8)}-${run.words.length} `;
  run.words.push(word);
  run.tokensLeft -= 1;
  if (run.stream) {
    run.response.write(formatChunk(word));
  }
  if (run.tokensLeft > 0) {
    return false;
  }
  endRun(state, run);
  return true;
}

/** Does one engine step: admits requests, then serves each in the batch. */
function advance(state: EngineState): void {
  while (state.batch.length < state.options.maxBatch && state.waiting.length > 0) {
    state.batch.push(state.waiting.shift() as Run);
  }
  state.batch = state.batch.filter((run) => !run.response.destroyed && !advanceRun(state, run));
}

/** Digests a prompt, so that a test can tell whose answer it got. */
export function hashPrompt(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/** Takes in one completion request. */
function admitRun(
  state: EngineState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  text: string,
): void {
  const body = JSON.parse(text) as { stream?: boolean; max_tokens?: number };
  const run: Run = {
    requestId: String(request.headers['x-request-id'] ?? ''),
    response,
    stream: body.stream === true,
    promptDigest: hashPrompt(text),
    prefillLeft: Math.ceil(text.length / BYTES_PER_TOKEN),
    tokensLeft: body.max_tokens ?? DEFAULT_ANSWER_TOKENS,
    words: [],
  };
  writeJournal(state, 'start', run);
  if (text.includes(CRASH_MARK)) {
    state.options.crash();
    return;
  }
  if (run.stream) {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
  }
  state.waiting.push(run);
}

/** Reads a body as text. */
export async function readText(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Starts an engine. */
export async function startEngine(given: Partial<EngineOptions>): Promise<Engine> {
  const options = { ...DEFAULT_ENGINE_OPTIONS, ...given };
  const state: EngineState = { options, waiting: [], batch: [] };
  const server = http.createServer((request, response) => {
    readText(request)
      .then((text) => admitRun(state, request, response, text))
      .catch(() => response.writeHead(400).end());
  });
  let timer = setInterval(() => advance(state), options.stepMs);
  await new Promise<void>((resolve) => {
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    setStepMs: (stepMs) => {
      clearInterval(timer);
      timer = setInterval(() => advance(state), stepMs);
    },
    stop: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
