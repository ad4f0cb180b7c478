/**
 * Remembers which software version began each stream, for callers that take a stream up again.
 *
 * A record is written once the first event has arrived, so it never changes. A stream without a
 * record is not continued: which versions serve now does not show which one began it.
 */

/** What a gateway knows of the beginning of a stream. */
export type StreamOrigin = {
  /** The caller's attempt that brought the first event. */
  attemptId: string;
  service: string;
  version: string;
  /** How long the caller may still take the stream up, milliseconds. */
  keepMs: number;
};

/** The software that began a stream; versions of different services are not related. */
export type StreamSoftware = Pick<StreamOrigin, 'service' | 'version'>;

type KnownOrigin = {
  /** Undefined if records of the same attempt contradict each other. */
  software: StreamSoftware | undefined;
  expiresMs: number;
};

/** Requests that wait to learn which version began their stream. */
export type OriginLookup = {
  serials: Set<number>;
  startedMs: number;
  askedMs: number;
  /** Times that other gateways were asked, and those asked by now. */
  rounds: number;
  asked: string[];
  /** Gateways that have replied that they do not know it. */
  ignorant: Set<string>;
};

export type StreamOrigins = {
  /** By attempt id, the oldest record first. */
  byAttempt: Map<string, KnownOrigin>;
  /** By attempt id. */
  lookups: Map<string, OriginLookup>;
  /** Take-ups since the start, by where the version was found. */
  totals: Record<OriginSource, number>;
};

/** Where the version that began a stream was found. */
export enum OriginSource {
  OWN = 'own',
  PEER = 'peer',
  UNKNOWN = 'unknown',
}

/** Bounds the memory, about 10 MB; the oldest records are dropped. */
const MAX_ORIGINS = 50_000;
/** Longest time that a record is kept, milliseconds. */
export const MAX_KEEP_MS = 300_000;
/** Longer attempt ids are not recorded, so that records fit in datagrams; characters. */
const MAX_ATTEMPT_ID = 128;

/** Creates an empty store of records. */
export function createStreamOrigins(): StreamOrigins {
  const totals = { [OriginSource.OWN]: 0, [OriginSource.PEER]: 0, [OriginSource.UNKNOWN]: 0 };
  return { byAttempt: new Map(), lookups: new Map(), totals };
}

/** Returns whether the beginning of an attempt's stream can be recorded. */
export function isRecordable(attemptId: string): boolean {
  return attemptId.length <= MAX_ATTEMPT_ID;
}

/** Records which version began a stream; returns false if the record cannot be kept. */
export function recordOrigin(
  { byAttempt }: StreamOrigins,
  { attemptId, service, version, keepMs }: StreamOrigin,
  now: number,
): boolean {
  if (!isRecordable(attemptId) || !(keepMs > 0)) {
    return false;
  }
  const known = byAttempt.get(attemptId);
  const expiresMs = Math.max(known?.expiresMs ?? 0, now + Math.min(keepMs, MAX_KEEP_MS));
  const isConsistent =
    known === undefined ||
    (known.software?.version === version && known.software.service === service);
  byAttempt.delete(attemptId);
  byAttempt.set(attemptId, {
    software: isConsistent ? { service, version } : undefined,
    expiresMs,
  });
  if (byAttempt.size > MAX_ORIGINS) {
    const [oldest] = byAttempt.keys();
    byAttempt.delete(oldest);
  }
  return true;
}

/** Finds the software that began a stream; undefined if it is unknown. */
export function findOrigin(
  { byAttempt }: StreamOrigins,
  attemptId: string,
  now: number,
): StreamSoftware | undefined {
  const known = byAttempt.get(attemptId);
  return known !== undefined && now < known.expiresMs ? known.software : undefined;
}

/** Lists all records that are still valid. */
export function listOrigins({ byAttempt }: StreamOrigins, now: number): StreamOrigin[] {
  return [...byAttempt].flatMap(([attemptId, { software, expiresMs }]) =>
    software === undefined || now >= expiresMs
      ? []
      : [{ attemptId, ...software, keepMs: Math.ceil(expiresMs - now) }],
  );
}

/** Removes the records that are no longer valid. */
export function expireOrigins({ byAttempt }: StreamOrigins, now: number): void {
  [...byAttempt]
    .filter(([, { expiresMs }]) => now >= expiresMs)
    .forEach(([attemptId]) => byAttempt.delete(attemptId));
}
