/**
 * How far the response of a run has been received.
 *
 * A resumption repeats the last bytes. Only so does it show whether they are of the run: bytes of
 * another response, received after the end of this one, are beyond what the engine has to repeat.
 */

import * as contentState from './content-state.js';

export type RunProgress = {
  receivedBytes: number;
  content: contentState.ContentState;
  /** The last bytes received. */
  lastBytes: Buffer;
};

/** Bytes that a resumption repeats at most. */
const MAX_REPEATED_BYTES = 64;

/** Creates the progress of a run whose response has begun. */
export function createProgress(contentType: string): RunProgress {
  const content = contentState.createContentState(contentType);
  return { receivedBytes: 0, content, lastBytes: Buffer.alloc(0) };
}

/** Computes from which byte on a resumption asks for the response. */
export function computeResumeFrom(progress: RunProgress | undefined): number {
  return progress === undefined ? 0 : progress.receivedBytes - progress.lastBytes.length;
}

/** Records new bytes of the response. */
export function recordReceived(progress: RunProgress, data: Buffer): void {
  progress.receivedBytes += data.length;
  progress.content = contentState.readContent(progress.content, data);
  const last = data.subarray(-MAX_REPEATED_BYTES);
  progress.lastBytes = Buffer.concat([progress.lastBytes, last]).subarray(-MAX_REPEATED_BYTES);
}

/**
 * Takes from the beginning of `data` what is left to be repeated; returns undefined if it differs.
 */
export function takeRepeated(
  left: Buffer,
  data: Buffer,
): { left: Buffer; rest: Buffer } | undefined {
  const length = Math.min(left.length, data.length);
  return data.subarray(0, length).equals(left.subarray(0, length))
    ? { left: left.subarray(length), rest: data.subarray(length) }
    : undefined;
}
