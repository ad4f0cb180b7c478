/**
 * Collects the memory of bodies that are no longer held.
 *
 * V8 leaves up to 64 MB of freed buffers uncollected, which is more than a small process can spare.
 * What is read from a connection is young garbage as soon as it is copied; the buffers of whole
 * bodies are old by the time they are released.
 */

export type BodyGarbage = {
  /** Counts bytes that were read from a connection and copied. */
  noteCopied: (bytes: number) => void;
  /** Counts bytes of a large body that were released. */
  noteReleased: (bytes: number) => void;
};

/** The function that `--expose-gc` adds to the global object. */
export type Collect = (options: { type: 'minor' | 'major' }) => void;

/** Garbage after which it is collected, bytes. */
const MAX_COPIED_BYTES = 8_388_608;
const MAX_RELEASED_BYTES = 16_777_216;

/** Counts bytes, and calls a function each time that a limit is exceeded. */
function createCounter(limitBytes: number, handleExcess: () => void): (bytes: number) => void {
  let sum = 0;
  return (bytes) => {
    sum += bytes;
    if (sum > limitBytes) {
      sum = 0;
      handleExcess();
    }
  };
}

/** Creates the counters; without `collect` they have no effect. */
export function createBodyGarbage(collect: Collect = () => {}): BodyGarbage {
  return {
    noteCopied: createCounter(MAX_COPIED_BYTES, () => collect({ type: 'minor' })),
    noteReleased: createCounter(MAX_RELEASED_BYTES, () => setImmediate(collect, { type: 'major' })),
  };
}
