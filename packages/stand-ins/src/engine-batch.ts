/** Continuous batching of the stand-in engine: admits as they come, step by step. */
import type * as http from 'node:http';

export type Run = {
  requestId: string;
  stream: boolean;
  promptDigest: string;
  prefillLeft: number;
  tokensLeft: number;
  words: string[];
  /** Bytes of the answer so far, for connections that come later. */
  output: string;
  ended: boolean;
  /** The connection that gets the answer; undefined while there is none. */
  response: http.ServerResponse | undefined;
};

export type Batch = {
  waiting: Run[];
  running: Run[];
  maxBatch: number;
  prefillTokensPerStep: number;
};

/** Formats one streamed token. */
function formatChunk(word: string): string {
  return `data: ${JSON.stringify({ object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content: word } }] })}\n\n`;
}

/** Adds bytes to an answer. */
function writeOutput(run: Run, text: string): void {
  run.output += text;
  run.response?.write(text);
}

/** Formats a whole answer. */
function formatAnswer(run: Run): string {
  const message = { role: 'assistant', content: run.words.join('') };
  return JSON.stringify({
    id: run.requestId,
    object: 'chat.completion',
    choices: [{ index: 0, message, finish_reason: 'stop' }],
  });
}

/** Ends a run whose every token is out. */
function endRun(run: Run): void {
  writeOutput(run, run.stream ? 'data: [DONE]\n\n' : formatAnswer(run));
  run.ended = true;
  run.response?.end();
}

/** Gives one run its part of a step. */
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

/** Does one step; returns the runs that ended in it. */
export function advance(batch: Batch): Run[] {
  while (batch.running.length < batch.maxBatch && batch.waiting.length > 0) {
    batch.running.push(batch.waiting.shift() as Run);
  }
  batch.running.forEach((run) => advanceRun(batch, run));
  const ended = batch.running.filter((run) => run.ended);
  batch.running = batch.running.filter((run) => !run.ended);
  return ended;
}

/** Takes a run out of the batch; false where it had ended. */
export function removeRun(batch: Batch, run: Run): boolean {
  const before = batch.waiting.length + batch.running.length;
  batch.waiting = batch.waiting.filter((one) => one !== run);
  batch.running = batch.running.filter((one) => one !== run);
  return batch.waiting.length + batch.running.length < before;
}
