/** Reads the bodies of requests within the budget of the process. */
import type * as http from 'node:http';
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as bodyMemory from './body-memory.js';
import * as byteCollector from './byte-collector.js';

export type BodyListener = {
  /** Called with the whole body and for how long reading was stopped, milliseconds. */
  receive: (body: Buffer, stoppedMs: number) => void;
  /** Called at most once; what arrives later is not kept. */
  refuse: (refusal: gateway.Refusal, fields: Record<string, unknown>) => void;
};

type ReadingOptions = {
  memory: bodyMemory.BodyMemory;
  readNow: () => number;
  maxBodyBytes: number;
  request: http.IncomingMessage;
  response: http.ServerResponse;
  listener: BodyListener;
};

type BodyReading = ReadingOptions & {
  /** Taken as for a small request. */
  smallBytes: number;
  claim: gateway.BodyClaim | undefined;
  /** What has been read of a small body, and the buffer of a large one. */
  collector: byteCollector.ByteCollector;
  whole: Buffer | undefined;
  bytes: number;
  stoppedMs: number;
  isEnded: boolean;
};

/**
 * Size of the first buffer for a body without a length, bytes. What is not written to it takes no
 * memory, and a body that is granted its whole size at first does not wait again.
 */
const FIRST_BUFFER_BYTES = 4_194_304;

/** Gives back all memory of a request. */
function releaseAll(reading: BodyReading): void {
  reading.isEnded = true;
  reading.memory.releaseSmall(reading.smallBytes);
  reading.smallBytes = 0;
  if (reading.claim !== undefined) {
    reading.memory.release(reading.claim);
  }
}

/** Forgets what has been read, and refuses the request. */
function refuse(
  reading: BodyReading,
  refusal: gateway.Refusal,
  fields: Record<string, unknown> = {},
): void {
  byteCollector.takeBytes(reading.collector);
  reading.whole = undefined;
  releaseAll(reading);
  reading.listener.refuse(refusal, fields);
}

/** Refuses a request for which there is no room. */
function refuseForMemory(reading: BodyReading, bytes: number): void {
  const { workspace, urgency } = reading.claim?.holder ?? {};
  refuse(reading, reading.memory.buildRefusal(), { workspace, urgency, bytes });
}

/** Takes bytes as for a small request; refuses the request if there is no room. */
function takeSmall(reading: BodyReading, bytes: number): boolean {
  if (!reading.memory.takeSmall(bytes)) {
    refuseForMemory(reading, bytes);
    return false;
  }
  reading.smallBytes += bytes;
  return true;
}

/** Claims bytes for a large body; calls `proceed` once they are granted. */
function claimBytes(reading: BodyReading, bytes: number, proceed: () => void): void {
  const { memory, request, readNow } = reading;
  const startMs = readNow();
  reading.claim ??= memory.createClaim(request.url ?? '', request.rawHeaders);
  memory.request(reading.claim, bytes, (isGranted) => {
    reading.stoppedMs += Math.floor(readNow() - startMs);
    if (isGranted) {
      proceed();
    } else {
      refuseForMemory(reading, bytes);
    }
  });
}

/** Keeps a part of a body. */
function keepPart(reading: BodyReading, part: Buffer): void {
  const { whole, bytes } = reading;
  if (whole !== undefined) {
    part.copy(whole, bytes);
    reading.memory.noteCopied(part.length);
  } else {
    byteCollector.addBytes(reading.collector, part);
  }
  reading.bytes += part.length;
}

/** Copies what has been read to a buffer of the given length, which has been granted. */
function copyToBuffer(reading: BodyReading, length: number): void {
  const { memory, claim, whole, collector } = reading;
  const buffer = Buffer.allocUnsafeSlow(length);
  (whole ?? byteCollector.takeBytes(collector)).copy(buffer);
  reading.whole = buffer;
  if (claim !== undefined && whole !== undefined) {
    memory.releasePart(claim, whole.length);
  }
}

/** Moves a body without a length to a larger buffer; reading stops until that is granted. */
function claimLarger(reading: BodyReading, part: Buffer): void {
  const { request, whole, maxBodyBytes } = reading;
  const length = Math.min(Math.max((whole?.length ?? 0) * 2, FIRST_BUFFER_BYTES), maxBodyBytes);
  request.pause();
  claimBytes(reading, length, () => {
    copyToBuffer(reading, length);
    keepPart(reading, part);
    request.resume();
  });
}

/** Handles a part of a body without a length. */
function handleUnstatedPart(reading: BodyReading, part: Buffer): void {
  const total = reading.bytes + part.length;
  if (total > reading.maxBodyBytes) {
    const code = schema.ResultCode.BODY_TOO_LARGE;
    refuse(reading, { code, retryAfterMs: undefined });
  } else if (total > (reading.whole?.length ?? gateway.SMALL_BODY_BYTES)) {
    claimLarger(reading, part);
  } else if (reading.whole !== undefined || takeSmall(reading, part.length)) {
    keepPart(reading, part);
  }
}

/** Passes on a body that has been read completely. */
function complete(reading: BodyReading): void {
  const { collector, bytes, claim, memory, request, listener, stoppedMs } = reading;
  if (reading.isEnded || !request.complete) {
    return;
  }
  const whole = reading.whole?.subarray(0, bytes);
  if (claim !== undefined) {
    memory.releasePart(claim, claim.heldBytes - bytes);
  }
  reading.isEnded = true;
  reading.whole = undefined;
  listener.receive(whole ?? byteCollector.takeBytes(collector), stoppedMs);
}

/** Begins to read; a caller that waits for permission to send its body gets it. */
function start(reading: BodyReading, handlePart: (part: Buffer) => void): void {
  const { request, response } = reading;
  if (request.headers.expect !== undefined) {
    response.writeContinue();
  }
  request.on('data', (part: Buffer) => {
    if (!reading.isEnded) {
      handlePart(part);
    }
  });
  request.on('end', () => complete(reading));
}

/** Reads a small body whose length is stated. */
function readSmall(
  { memory, request, response, listener }: ReadingOptions,
  takenBytes: number,
): void {
  if (!memory.takeSmall(takenBytes)) {
    listener.refuse(memory.buildRefusal(), { bytes: takenBytes });
    return;
  }
  response.on('close', () => memory.releaseSmall(takenBytes));
  if (request.headers.expect !== undefined) {
    response.writeContinue();
  }
  const collector = byteCollector.createByteCollector();
  request.on('data', (part: Buffer) => byteCollector.addBytes(collector, part));
  request.on('end', () => {
    if (request.complete) {
      listener.receive(byteCollector.takeBytes(collector), 0);
    }
  });
}

/** Reads a large body, or one without a length. */
function readLarge(options: ReadingOptions, headBytes: number, length: number | undefined): void {
  const { response } = options;
  const reading: BodyReading = {
    ...options,
    smallBytes: 0,
    claim: undefined,
    collector: byteCollector.createByteCollector(),
    whole: undefined,
    bytes: 0,
    stoppedMs: 0,
    isEnded: false,
  };
  response.on('close', () => releaseAll(reading));
  if (!takeSmall(reading, headBytes)) {
    return;
  }
  if (length === undefined) {
    start(reading, (part) => handleUnstatedPart(reading, part));
    return;
  }
  claimBytes(reading, length, () => {
    reading.whole = Buffer.allocUnsafeSlow(length);
    start(reading, (part) => keepPart(reading, part));
  });
}

/** Reads the body of a request, as soon as there is room for it. */
export function readBody(options: ReadingOptions, headerBytes: number): void {
  const { headers } = options.request;
  const isUnstated = headers['transfer-encoding'] !== undefined;
  const length = isUnstated ? undefined : Number(headers['content-length'] ?? 0);
  const headBytes = gateway.computeHeadBytes(headerBytes);
  if (length !== undefined && length <= gateway.SMALL_BODY_BYTES) {
    readSmall(options, headBytes + length);
  } else {
    readLarge(options, headBytes, length);
  }
}
