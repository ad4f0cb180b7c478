/** Records which parts of prompts were in runs that ended without a response. */
import * as lostRuns from './lost-runs.js';

/** A run that ended without a response, and the parts of its prompt that other prompts may share. */
export type LostPartRun = lostRuns.ServerIncarnation & {
  parts: readonly string[];
  sentMs: number;
  lostMs: number;
  /** It was cancelled as its backend server had fallen silent; otherwise its connection broke. */
  isSilent: boolean;
};

export type PartLoss = Omit<LostPartRun, 'parts'> & {
  /** When this gateway learned of it, milliseconds. */
  changedMs: number;
};

export type PartRecord = {
  losses: PartLoss[];
  /** When a run with the part last proved to be sound, milliseconds; -Infinity if none has. */
  soundMs: number;
  /** Trials since the part was last sound, and when the last one was sent, milliseconds. */
  trials: number;
  trialMs: number;
  /** When this gateway last admitted a request as a trial, milliseconds. */
  admittedMs: number;
};

/** A refused part. */
export type PartSuspension = { part: string; losses: number; trialMs: number };

/** A backend server that a run was lost at. */
type LostServer = { bornMs: number; lostMs: number; heardMs: number };

export type PartLosses = {
  byPart: Map<string, PartRecord>;
  /** When parts were last in sound runs that were sampled, milliseconds; the oldest come first. */
  sampled: Map<string, number>;
  sampledMs: number;
  /** By id. */
  lostServers: Map<string, LostServer>;
  /** The refused parts; undefined if the records have changed since these were determined. */
  suspended: Map<string, PartSuspension> | undefined;
  /** Lost runs and parts with other changes that the other gateways have not been sent. */
  unsentRuns: LostPartRun[];
  unsentParts: Set<string>;
  /** When a loss was last recorded, milliseconds. */
  changedMs: number;
  /** When changes were last sent, milliseconds. */
  sentMs: number;
};

/** Limit of the parts with records; bounds the memory. */
const MAX_PARTS = 1024;
/** Excess from which on records are removed; sorting them for each new one would be slow. */
const TRIM_EXCESS = 256;
/** Limit of the parts of sampled runs, and the minimum time between such runs, milliseconds. */
const MAX_SAMPLED_PARTS = 1024;
const SAMPLE_INTERVAL_MS = 10;
/** Limit of the losses of one part; the latest ones are kept. */
const MAX_PART_LOSSES = 16;
const MAX_LOST_SERVERS = 512;
const MAX_UNSENT_RUNS = 256;
/** Parts of one prompt that are recorded. */
const MAX_RUN_PARTS = 64;

/** Creates an empty record. */
export function createPartLosses(): PartLosses {
  return {
    byPart: new Map(),
    sampled: new Map(),
    sampledMs: -Infinity,
    lostServers: new Map(),
    suspended: undefined,
    unsentRuns: [],
    unsentParts: new Set(),
    changedMs: -Infinity,
    sentMs: -Infinity,
  };
}

/** Records a backend server that a run was lost at. */
function noteLostServer(
  { lostServers }: PartLosses,
  { serverId, bornMs, lostMs }: LostPartRun,
): void {
  const known = lostServers.get(serverId);
  if (known?.bornMs === bornMs) {
    known.lostMs = Math.max(known.lostMs, lostMs);
    return;
  }
  lostServers.delete(serverId);
  lostServers.set(serverId, { bornMs, lostMs, heardMs: -Infinity });
  if (lostServers.size > MAX_LOST_SERVERS) {
    const [oldest] = lostServers.keys();
    lostServers.delete(oldest);
  }
}

/** Records that bytes have arrived from a backend server, which matters if a run was lost there. */
export function noteHeardServer(
  partLosses: PartLosses,
  { serverId, bornMs }: lostRuns.ServerIncarnation,
  now: number,
): void {
  const known = partLosses.lostServers.get(serverId);
  if (known?.bornMs === bornMs && now - known.lostMs > lostRuns.TRANSIT_MS) {
    const isFirst = known.heardMs - known.lostMs <= lostRuns.TRANSIT_MS;
    known.heardMs = now;
    partLosses.suspended = isFirst ? undefined : partLosses.suspended;
  }
}

/**
 * Handles the restart of a backend server: its losses count if it was heard only within `minHeardMs`
 * after them, as the new process may have sent that.
 */
export function handleRestart(partLosses: PartLosses, serverId: string, minHeardMs: number): void {
  const known = partLosses.lostServers.get(serverId);
  if (known !== undefined && known.heardMs - known.lostMs <= minHeardMs) {
    known.heardMs = -Infinity;
    partLosses.suspended = undefined;
  }
}

/** Returns whether the backend server of a loss has not been heard since. */
function isServerLost({ lostServers }: PartLosses, loss: PartLoss): boolean {
  const known = lostServers.get(loss.serverId);
  return known?.bornMs !== loss.bornMs || known.heardMs - loss.lostMs <= lostRuns.TRANSIT_MS;
}

/** Lists the losses that count: no sound run since, and nothing heard of the backend server. */
export function listCountedLosses(
  partLosses: PartLosses,
  { losses, soundMs }: PartRecord,
): PartLoss[] {
  return losses.filter((loss) => loss.lostMs > soundMs && isServerLost(partLosses, loss));
}

/** Removes excess parts: those with the fewest losses without a sound run since, oldest first. */
function trimParts({ byPart, unsentParts }: PartLosses): void {
  if (byPart.size <= MAX_PARTS + TRIM_EXCESS) {
    return;
  }
  const ranked = [...byPart].map(([part, { losses, soundMs }]) => ({
    part,
    uncleared: losses.filter(({ lostMs }) => lostMs > soundMs).length,
    lastMs: losses[0]?.lostMs ?? soundMs,
  }));
  ranked
    .sort((a, b) => a.uncleared - b.uncleared || a.lastMs - b.lastMs)
    .slice(0, byPart.size - MAX_PARTS)
    .forEach(({ part }) => {
      byPart.delete(part);
      unsentParts.delete(part);
    });
}

/**
 * Records the parts of a sample of the sound runs. When nearly all backend servers are lost at once,
 * the record of a part that is in most prompts would begin with its losses otherwise.
 */
export function recordSample(partLosses: PartLosses, parts: readonly string[], now: number): void {
  if (now - partLosses.sampledMs < SAMPLE_INTERVAL_MS) {
    return;
  }
  const { sampled } = partLosses;
  partLosses.sampledMs = now;
  parts.forEach((part) => {
    sampled.delete(part);
    sampled.set(part, now);
  });
  const excess = Math.max(sampled.size - MAX_SAMPLED_PARTS, 0);
  const oldest = excess > 0 ? [...sampled.keys()].slice(0, excess) : [];
  oldest.forEach((part) => sampled.delete(part));
}

/** Returns the record of a part and creates it if there is none. */
export function getRecord({ byPart, sampled }: PartLosses, part: string): PartRecord {
  const known = byPart.get(part);
  if (known !== undefined) {
    return known;
  }
  const soundMs = sampled.get(part) ?? -Infinity;
  const record = { losses: [], soundMs, trials: 0, trialMs: -Infinity, admittedMs: -Infinity };
  byPart.set(part, record);
  return record;
}

/**
 * Adds a loss to the record of a part; returns whether it changed. A run that was sent after the
 * loss of the known one at the same backend server replaces it.
 */
function addLoss(record: PartRecord, loss: PartLoss): boolean {
  const known = record.losses.find(
    ({ serverId, bornMs }) => serverId === loss.serverId && bornMs === loss.bornMs,
  );
  if (known !== undefined && loss.sentMs < known.lostMs + lostRuns.TRANSIT_MS) {
    return false;
  }
  record.losses = [...record.losses.filter((one) => one !== known), loss]
    .sort((a, b) => b.lostMs - a.lostMs)
    .slice(0, MAX_PART_LOSSES);
  return record.losses.includes(loss);
}

/** Records a lost run; returns the parts whose records changed. */
export function addLostRun(
  partLosses: PartLosses,
  { parts, ...run }: LostPartRun,
  now: number,
): string[] {
  const changed = [...new Set(parts.slice(0, MAX_RUN_PARTS))].filter((part) =>
    addLoss(getRecord(partLosses, part), { ...run, changedMs: now }),
  );
  if (changed.length > 0) {
    noteLostServer(partLosses, { parts, ...run });
    trimParts(partLosses);
    Object.assign(partLosses, { suspended: undefined, changedMs: now });
  }
  return changed;
}

/** Records a run that ended without a response, as evidence against the parts of its prompt. */
export function noteLostPartRun(partLosses: PartLosses, run: LostPartRun, now: number): void {
  const parts = addLostRun(partLosses, run, now);
  if (parts.length > 0 && partLosses.unsentRuns.length < MAX_UNSENT_RUNS) {
    partLosses.unsentRuns.push({ ...run, parts });
  }
}

/**
 * Records that a run has proved its parts to be sound, which clears their losses; returns whether
 * there were any.
 */
export function noteSoundParts(
  partLosses: PartLosses,
  parts: readonly string[],
  now: number,
): boolean {
  const changed = parts.filter((part) => {
    const record = partLosses.byPart.get(part);
    if (record === undefined) {
      return false;
    }
    const hadLosses = record.trials > 0 || record.losses.some((one) => one.lostMs > record.soundMs);
    Object.assign(record, { soundMs: now, trials: 0 });
    return hadLosses;
  });
  changed.forEach((part) => partLosses.unsentParts.add(part));
  if (changed.length > 0) {
    partLosses.suspended = undefined;
  }
  return changed.length > 0;
}

/** Records that a trial of refused parts is sent. */
export function noteTrial(partLosses: PartLosses, parts: readonly string[], now: number): void {
  parts.forEach((part) => {
    const record = getRecord(partLosses, part);
    Object.assign(record, { trials: record.trials + 1, trialMs: now });
    partLosses.unsentParts.add(part);
  });
  partLosses.suspended = undefined;
}

/**
 * Applies what another gateway knows of a part. Its times are later by the transit of the message,
 * so a time that says nothing new is ignored: it would grow each time that gateways repeat it.
 */
export function mergeStanding(
  partLosses: PartLosses,
  part: string,
  { soundMs, trials, trialMs }: Pick<PartRecord, 'soundMs' | 'trials' | 'trialMs'>,
): void {
  const record = getRecord(partLosses, part);
  const clears = record.losses.some(({ lostMs }) => lostMs > record.soundMs && lostMs <= soundMs);
  if (clears || soundMs > record.soundMs + lostRuns.TRANSIT_MS) {
    record.soundMs = soundMs;
    record.trials = record.trialMs > soundMs ? record.trials : 0;
  }
  if (trials > record.trials && trialMs > record.soundMs) {
    Object.assign(record, { trials, trialMs });
  }
  trimParts(partLosses);
  partLosses.suspended = undefined;
}

/** Removes the records of parts without a loss for `KEEP_MS`. */
export function expireParts(partLosses: PartLosses, now: number): void {
  const { byPart, unsentParts } = partLosses;
  byPart.forEach(({ losses, soundMs }, part) => {
    const lastMs = Math.max(soundMs, ...losses.map(({ lostMs }) => lostMs));
    if (now - lastMs >= lostRuns.KEEP_MS) {
      byPart.delete(part);
      unsentParts.delete(part);
      partLosses.suspended = undefined;
    }
  });
}
