/**
 * Records runs of request content that ended without a response, at backend servers that have not
 * been heard since.
 *
 * Gateways exchange these records. A run is identified by its backend server, and its times are
 * exchanged as ages, so reordered, lost and duplicate messages and differing clocks do no harm.
 */

/** The start of a backend server's process; a restart under the same id is another incarnation. */
export type ServerIncarnation = { serverId: string; bornMs: number };

export type LostRun = ServerIncarnation & {
  sentMs: number;
  lostMs: number;
  /** When this gateway learned of it or of its clearance, milliseconds. */
  changedMs: number;
  /** It was cancelled as its backend server had fallen silent; otherwise its connection broke. */
  isSilent: boolean;
  /** It does not count: the content has completed since, or its backend server lived on. */
  isCleared: boolean;
};

/** The lost runs of one content. */
export type ContentRecord = {
  runs: LostRun[];
  /** When this gateway last admitted the content as a trial, milliseconds. */
  trialMs: number;
};

export type LostRuns = {
  byDigest: Map<string, ContentRecord>;
  /** When each backend server was last heard, by id. */
  heard: Map<string, { bornMs: number; atMs: number }>;
  /** Contents whose records the other gateways have not been sent, and whether one has grown. */
  unsent: Map<string, boolean>;
  /** When records were last sent apart from reports, milliseconds. */
  sentMs: number;
};

/** A lost run together with the digest of its content. */
export type DigestedRun = LostRun & { digest: string };

/** How long a record is kept after the loss, milliseconds. */
export const KEEP_MS = 60 * 60 * 1000;
/** Limit of the contents with records; bounds the memory. */
const MAX_CONTENTS = 256;
/** Limit of the runs of one content; the latest ones are kept. */
const MAX_RUNS = 12;
/**
 * Bytes that arrive from a backend server within this time after a loss may have been sent before
 * it, milliseconds.
 */
export const TRANSIT_MS = 300;

/** Creates an empty record. */
export function createLostRuns(): LostRuns {
  return { byDigest: new Map(), heard: new Map(), unsent: new Map(), sentMs: -Infinity };
}

/** Records that bytes have arrived from a backend server. */
export function noteHeard(
  { heard }: LostRuns,
  { serverId, bornMs }: ServerIncarnation,
  now: number,
): void {
  const known = heard.get(serverId);
  if (known?.bornMs === bornMs) {
    known.atMs = now;
  } else {
    heard.set(serverId, { bornMs, atMs: now });
  }
}

/** Returns whether nothing has arrived from a backend server for some time. */
export function isServerSilent(
  { heard }: LostRuns,
  { serverId, bornMs }: ServerIncarnation,
  forMs: number,
  now: number,
): boolean {
  const known = heard.get(serverId);
  return known?.bornMs !== bornMs || now - known.atMs > forMs;
}

/** Returns how long after a loss its backend server was last heard, ms; -Infinity if it was not. */
function computeHeardAfter({ heard }: LostRuns, run: LostRun): number {
  const known = heard.get(run.serverId);
  return known?.bornMs === run.bornMs ? known.atMs - run.lostMs : -Infinity;
}

/** Lists the runs that count: not cleared, and nothing heard of the backend server since. */
export function listCounted(lostRuns: LostRuns, digest: string): LostRun[] {
  const { runs } = lostRuns.byDigest.get(digest) ?? { runs: [] };
  return runs.filter((run) => !run.isCleared && computeHeardAfter(lostRuns, run) <= TRANSIT_MS);
}

/**
 * Counts losses in sequence: how many of the runs were sent after the loss before them. Runs at
 * several servers that are lost together, or whose connections are reset together, count as one.
 */
export function countSequence(runs: readonly Pick<LostRun, 'sentMs' | 'lostMs'>[]): number {
  let lastMs = -Infinity;
  return [...runs]
    .sort((a, b) => a.lostMs - b.lostMs)
    .filter(({ sentMs, lostMs }) => {
      const isNext = sentMs >= lastMs;
      lastMs = isNext ? lostMs : lastMs;
      return isNext;
    }).length;
}

/** Returns when a record last changed, milliseconds. */
function getChangedMs({ runs }: ContentRecord): number {
  return Math.max(...runs.map(({ changedMs }) => changedMs));
}

/** Removes excess contents: those with the fewest runs that are not cleared, the oldest first. */
function trimContents({ byDigest, unsent }: LostRuns): void {
  if (byDigest.size <= MAX_CONTENTS) {
    return;
  }
  const countUncleared = ({ runs }: ContentRecord) =>
    runs.filter(({ isCleared }) => !isCleared).length;
  [...byDigest]
    .sort(
      ([, a], [, b]) => countUncleared(a) - countUncleared(b) || getChangedMs(a) - getChangedMs(b),
    )
    .slice(0, byDigest.size - MAX_CONTENTS)
    .forEach(([digest]) => {
      byDigest.delete(digest);
      unsent.delete(digest);
    });
}

/**
 * Adds a run, or clears the known one if it is cleared; returns whether the record changed. A run
 * that was sent after the loss of the known one at the same backend server replaces it. The times of
 * a run that another gateway passes on are later by the transit of the messages.
 */
export function addRun(lostRuns: LostRuns, { digest, ...run }: DigestedRun): boolean {
  const record = lostRuns.byDigest.get(digest) ?? { runs: [], trialMs: -Infinity };
  const known = record.runs.find(
    ({ serverId, bornMs }) => serverId === run.serverId && bornMs === run.bornMs,
  );
  if (known !== undefined && run.sentMs < known.lostMs + TRANSIT_MS) {
    const isChanged = run.isCleared && !known.isCleared;
    Object.assign(known, isChanged ? { isCleared: true, changedMs: run.changedMs } : {});
    return isChanged;
  }
  record.runs = [...record.runs.filter((one) => one !== known), run]
    .sort((a, b) => b.lostMs - a.lostMs)
    .slice(0, MAX_RUNS);
  lostRuns.byDigest.set(digest, record);
  trimContents(lostRuns);
  return true;
}

/** Clears the runs of a content that a condition selects; returns whether there were any. */
function clearRuns(
  { byDigest, unsent }: LostRuns,
  digest: string,
  isSelected: (run: LostRun) => boolean,
  now: number,
): boolean {
  const record = byDigest.get(digest);
  const selected = record?.runs.filter((run) => !run.isCleared && isSelected(run)) ?? [];
  selected.forEach((run) => Object.assign(run, { isCleared: true, changedMs: now }));
  if (selected.length > 0) {
    unsent.set(digest, unsent.get(digest) ?? false);
  }
  return selected.length > 0;
}

/** Clears all runs of a content that has completed; returns whether there were any. */
export function clearContent(lostRuns: LostRuns, digest: string, now: number): boolean {
  return clearRuns(lostRuns, digest, () => true, now);
}

/**
 * Forgets when a backend server that has ended was heard. Its runs that do not count because it was
 * heard after them are cleared.
 *
 * @param minHeardMs how long after a loss it must have been heard, milliseconds
 */
export function forgetServer(
  lostRuns: LostRuns,
  serverId: string,
  now: number,
  minHeardMs = TRANSIT_MS,
): void {
  const wasAlive = (run: LostRun) =>
    run.serverId === serverId && computeHeardAfter(lostRuns, run) > minHeardMs;
  lostRuns.byDigest.forEach((_, digest) => clearRuns(lostRuns, digest, wasAlive, now));
  lostRuns.heard.delete(serverId);
}

/** Lists all runs of some contents. */
export function listRuns({ byDigest }: LostRuns, digests: readonly string[]): DigestedRun[] {
  return digests.flatMap((digest) =>
    (byDigest.get(digest)?.runs ?? []).map((run) => ({ ...run, digest })),
  );
}

/** Removes the records of contents without a loss for `KEEP_MS`. */
export function expireRuns({ byDigest, unsent }: LostRuns, now: number): void {
  byDigest.forEach(({ runs }, digest) => {
    if (runs.every(({ lostMs }) => now - lostMs >= KEEP_MS)) {
      byDigest.delete(digest);
      unsent.delete(digest);
    }
  });
}
