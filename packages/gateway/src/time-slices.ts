/** Divides long loops into slices, so that the event loop polls its connections in between. */

/** Longest time that a slice takes before the next one is deferred, milliseconds. */
const SLICE_MS = 50;

/** Calls `run` for each item in order; defers the rest each time that a slice takes too long. */
export function runInSlices<T>(
  items: readonly T[],
  run: (item: T) => void,
  readNow: () => number,
  defer: (step: () => void) => void,
): void {
  const endMs = readNow() + SLICE_MS;
  let count = 0;
  while (count < items.length && (count === 0 || readNow() < endMs)) {
    run(items[count]);
    count += 1;
  }
  if (count < items.length) {
    defer(() => runInSlices(items.slice(count), run, readNow, defer));
  }
}
