/**
 * How far the response of a run has been received.
 *
 * A resumption repeats the last bytes. Only so does it show whether they are of the run: bytes of
 * another response, received after the end of this one, are beyond what the engine has to repeat.
 */

export type RunProgress = {
  receivedBytes: number;
  /** The last bytes received. */
  lastBytes: Buffer;
};

/** Bytes that a resumption repeats at most. */
const MAX_REPEATED_BYTES = 64;

/** Creates the progress of a run that has not begun to respond. */
export function createProgress(): RunProgress {
  return { receivedBytes: 0, lastBytes: Buffer.alloc(0) };
}

/** Computes from which byte on a resumption asks for the response. */
export function computeResumeFrom({ receivedBytes, lastBytes }: RunProgress): number {
  return receivedBytes - lastBytes.length;
}

/** Records new bytes of the response. */
export function recordReceived(progress: RunProgress, data: Buffer): void {
  progress.receivedBytes += data.length;
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
