/**
 * Collects bytes that arrive in parts.
 *
 * The HTTP libraries pass on each chunk of a body as a part of its own, and a part occupies far more
 * memory than a chunk of a single byte. The parts are therefore copied into one buffer.
 */

export type ByteCollector = {
  buffer: Buffer;
  /** Bytes collected; the rest of the buffer is unused. */
  length: number;
};

const EMPTY = Buffer.alloc(0);
/** Factor by which a full buffer grows. */
const GROWTH = 2;

/** Creates a collector without bytes. */
export function createByteCollector(): ByteCollector {
  return { buffer: EMPTY, length: 0 };
}

/** Adds a part. */
export function addBytes(collector: ByteCollector, part: Buffer): void {
  const { buffer, length } = collector;
  const neededBytes = length + part.length;
  if (neededBytes > buffer.length) {
    collector.buffer = Buffer.allocUnsafe(Math.max(neededBytes, GROWTH * buffer.length));
    buffer.copy(collector.buffer, 0, 0, length);
  }
  part.copy(collector.buffer, length);
  collector.length = neededBytes;
}

/** Takes the bytes collected; the collector is empty afterwards. */
export function takeBytes(collector: ByteCollector): Buffer {
  const bytes = collector.buffer.subarray(0, collector.length);
  Object.assign(collector, createByteCollector());
  return bytes;
}
