/** Continuous batching of the stand-in engine: runs enter the batch in the order of arrival. */
import type * as http from 'node:http';

export type Run = {
  requestId: string;
  stream: boolean;
  promptDigest: string;
  prefillLeft: number;
  tokensLeft: number;
  words: string[];
  /** The response so far, for connections that resume it. */
  output: string;
  ended: boolean;
  /** The connection that receives the response; undefined while there is none. */
  response: http.ServerResponse | undefined;
};

export type Batch = {
  waiting: Run[];
  running: Run[];
  maxBatch: number;
  prefillTokensPerStep: number;
};

/** Formats one streamed token as an event. */
function formatChunk(word: string): string {
  return `data: ${JSON.stringify({ object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content: word } }] })}\n\n`;
}

/** Appends text to a response and writes it to the connection. */
function writeOutput(run: Run, text: string): void {
  run.output += text;
  run.response?.write(text);
}

/** Formats a response that is not streamed. */
function formatResponse(run: Run): string {
  const message = { role: 'assistant', content: run.words.join('') };
  return JSON.stringify({
    id: run.requestId,
    object: 'chat.completion',
    choices: [{ index: 0, message, finish_reason: 'stop' }],
  });
}

/** Ends a run that has generated all its tokens. */
function endRun(run: Run): void {
  writeOutput(run, run.stream ? 'data: [DONE]\n\n' : formatResponse(run));
  run.ended = true;
  run.response?.end();
}

/** Advances one run by a step: part of its prefill, or one token. */
function advanceRun(batch: Batch, run: Run): void {
  if (run.prefillLeft > 0) {
    run.prefillLeft -= batch.prefillTokensPerStep;
    return;
  }
  const word = `${run.promptDigest.slice(0, 8)}-${run.words.length} `;
  run.words.push(word);
  run.tokensLeft -= 1;
  if (run.stream) {
    writeOutput(run, formatChunk(word));
  }
  if (run.tokensLeft <= 0) {
    endRun(run);
  }
}

/** Fills the batch and advances its runs by one step; returns the runs that ended in it. */
export function advance(batch: Batch): Run[] {
  while (batch.running.length < batch.maxBatch && batch.waiting.length > 0) {
    batch.running.push(batch.waiting.shift() as Run);
  }
  batch.running.forEach((run) => advanceRun(batch, run));
  const ended = batch.running.filter((run) => run.ended);
  batch.running = batch.running.filter((run) => !run.ended);
  return ended;
}

/** Removes a run from the batch and its queue; returns false where it had already ended. */
export function removeRun(batch: Batch, run: Run): boolean {
  const before = batch.waiting.length + batch.running.length;
  batch.waiting = batch.waiting.filter((one) => one !== run);
  batch.running = batch.running.filter((one) => one !== run);
  return batch.waiting.length + batch.running.length < before;
}
