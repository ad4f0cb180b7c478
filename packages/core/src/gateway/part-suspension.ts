/**
 * Decides which parts of prompts are refused, as they crash backend servers.
 *
 * Requests with such a part may differ in everything else. A crash also breaks the other runs at its
 * server, so a part counts as the cause only after several losses in sequence without a sound run
 * between them, and a loss that a more likely cause explains does not count.
 */
import * as lostRuns from './lost-runs.js';
import * as partLosses from './part-losses.js';

/**
 * Losses from which on a part is refused: those in sequence, and those at servers that have fallen
 * silent, also if the runs overlap.
 */
type LossLimits = { inSequence: number; silent: number };

const LIMITS: LossLimits = { inSequence: 2, silent: 3 };
/** Limits of a part that has been in sound runs. */
const SOUND_LIMITS: LossLimits = { inSequence: 6, silent: 6 };
/**
 * Losses at silent servers within this time count as one, milliseconds. When a gateway has stalled,
 * the time of many runs is over at once, and what their servers sent has not been read.
 */
const STALL_MS = 50;
/** Losses from which on the first trial of a part is later that no sound run is known of. */
const MANY_LOSSES = 4;
/** Time from the last loss to the first trial of a refused part, milliseconds. */
const FIRST_TRIAL_MS = 1000;
/** Factor by which the time to the next trial grows with each trial. */
const TRIAL_FACTOR = 10;

/** Counts losses at silent servers; those that happen at once count as one. */
function countSilent(losses: readonly partLosses.PartLoss[]): number {
  const times = losses.filter(({ isSilent }) => isSilent).map(({ lostMs }) => lostMs);
  return times
    .sort((a, b) => a - b)
    .filter((ms, at, sorted) => at === 0 || ms - sorted[at - 1] > STALL_MS).length;
}

/** Returns whether the losses of a part are enough to refuse it. */
function isOverLimit(losses: readonly partLosses.PartLoss[], limits: LossLimits): boolean {
  return (
    countSilent(losses) >= limits.silent || lostRuns.countSequence(losses) >= limits.inSequence
  );
}

/** A part that may be refused. */
type Candidate = {
  part: string;
  record: partLosses.PartRecord;
  losses: partLosses.PartLoss[];
  isSound: boolean;
};

/** Computes when a refused part may be tried again, given the losses that count against it. */
function computeTrialMs(
  { record: { trials, trialMs }, isSound }: Candidate,
  losses: readonly partLosses.PartLoss[],
): number {
  const lastMs = Math.max(trialMs, ...losses.map(({ lostMs }) => lostMs));
  const step = trials + (!isSound && losses.length >= MANY_LOSSES ? 1 : 0);
  return lastMs + Math.min(FIRST_TRIAL_MS * TRIAL_FACTOR ** step, lostRuns.KEEP_MS);
}

/** Compares two candidates: the more likely cause comes first. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return Number(a.isSound) - Number(b.isSound) || b.losses.length - a.losses.length;
}

/** Lists the parts with enough losses to be refused, the most likely causes first. */
function listCandidates(state: partLosses.PartLosses): Candidate[] {
  return [...state.byPart]
    .filter(([, { losses }]) => losses.length >= LIMITS.inSequence)
    .map(([part, record]) => ({
      part,
      record,
      losses: partLosses.listCountedLosses(state, record),
      isSound: record.soundMs > -Infinity,
    }))
    .filter(({ losses }) => losses.length >= LIMITS.inSequence)
    .sort(compareCandidates);
}

/** Identifies the backend server of a loss. */
function buildServerKey({ serverId, bornMs }: partLosses.PartLoss): string {
  return `${bornMs} ${serverId}`;
}

/**
 * Determines the refused parts. The losses of a refused part explain those of less likely causes at
 * the same backend servers; parts that are equally likely are all refused.
 */
function findSuspensions(state: partLosses.PartLosses): Map<string, partLosses.PartSuspension> {
  const explained = new Set<string>();
  const found = new Map<string, partLosses.PartSuspension>();
  let likeliest: Candidate[] = [];
  listCandidates(state).forEach((candidate) => {
    if (likeliest.length > 0 && compareCandidates(likeliest[0], candidate) !== 0) {
      likeliest
        .flatMap(({ losses }) => losses.map(buildServerKey))
        .forEach((key) => explained.add(key));
      likeliest = [];
    }
    const { part, isSound } = candidate;
    const losses = candidate.losses.filter((loss) => !explained.has(buildServerKey(loss)));
    if (isOverLimit(losses, isSound ? SOUND_LIMITS : LIMITS)) {
      likeliest.push(candidate);
      found.set(part, { part, losses: losses.length, trialMs: computeTrialMs(candidate, losses) });
    }
  });
  return found;
}

/** Lists the refused parts. */
export function listSuspendedParts(
  state: partLosses.PartLosses,
): Map<string, partLosses.PartSuspension> {
  state.suspended ??= findSuspensions(state);
  return state.suspended;
}

/** Returns the refused part among some that may be tried last; undefined if none is refused. */
export function findSuspendedPart(
  state: partLosses.PartLosses,
  parts: readonly string[],
  now: number,
): partLosses.PartSuspension | undefined {
  if (state.byPart.size === 0) {
    return undefined;
  }
  const suspended = listSuspendedParts(state);
  return parts
    .map((part) => suspended.get(part))
    .filter((one) => one !== undefined)
    .sort((a, b) => Math.max(b.trialMs, now) - Math.max(a.trialMs, now))[0];
}
