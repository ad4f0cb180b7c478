/**
 * Finds prompt parts that crash backend servers, from the losses and completions of their runs. How
 * much losses weigh and from which score on a part is refused is an argument.
 */
import type * as fleetReplay from './fleet-replay.js';

/** The loss of runs with a part at one server. */
export type Loss = {
  serverId: string;
  sentMs: number;
  lostMs: number;
  isSilent: boolean;
  /** The logarithm of how unlikely it is for a run to be lost then. */
  weight: number;
  /** A run with the part has completed since. */
  isCleared: boolean;
};

/** Rates the losses of a part, in the order of time; from 1 on the part is refused. */
export type RateLosses = (losses: readonly Loss[]) => number;

export type EvidenceOptions = {
  gateways: number;
  rateLosses: RateLosses;
  /** Losses count after this time, which also shows how many others there were, milliseconds. */
  settleMs: number;
  /** Losses at a server where a refused part ran do not count against other parts. */
  isExplained: boolean;
  /** Parts that have never completed are refused before others. */
  isUnprovenFirst: boolean;
  /** Parts of sound runs are remembered even without losses. */
  isSoundKept: boolean;
  /** Computes when a refused part may be tried again, milliseconds. */
  computeTrialMs: (losses: readonly Loss[], score: number) => number;
  /** Time between the turns of gateways to try a part, milliseconds. */
  turnMs: number;
};

type PartRecord = { losses: Loss[]; soundMs: number; trialMs: number };
type Change = { parts: readonly string[]; loss?: Loss; changedMs: number; isSent: boolean };
type Pending = { run: fleetReplay.LostRun; cleared: Set<string> };
type Evidence = {
  options: EvidenceOptions;
  gateway: number;
  byPart: Map<string, PartRecord>;
  pending: Pending[];
  changes: Change[];
  /** Recent ends of this gateway's runs, for the share of lost ones. */
  ends: { atMs: number; isLost: boolean }[];
  /** When runs with a part were last sound, for parts that have no losses yet. */
  sound: Map<string, number>;
};
type Suspect = { part: string; losses: Loss[]; score: number; record: PartRecord };

const MAX_PARTS = 256;
const MAX_LOSSES = 12;
const MAX_SOUND = 64;
const MAX_TURN = 4;
const RATE_MS = 1000;
const REPEAT_MS = 2000;
const MIN_TRIAL_MS = 2500;
/** Runs, and lost ones, that are assumed beside those seen. */
const PRIOR = { ends: 10, lost: 0.2 };
const MESSAGE_BYTES = 1000;
const CHANGE_BYTES = 32;
const PART_BYTES = 6;
const HASH_FACTOR = 31;

/** Computes the logarithm of how unlikely a loss is at a time. */
function computeWeight({ ends, options }: Evidence, atMs: number): number {
  const near = ends.filter(
    (one) => one.atMs > atMs - RATE_MS && one.atMs <= atMs + options.settleMs,
  );
  const lost = near.filter(({ isLost }) => isLost).length;
  return Math.log((near.length + PRIOR.ends) / (lost + PRIOR.lost));
}

/** Records the end of a run. */
function noteEnd(evidence: Evidence, isLost: boolean, now: number): void {
  if (evidence.options.settleMs > 0) {
    const since = evidence.ends.findIndex(({ atMs }) => atMs > now - 2 * RATE_MS);
    evidence.ends.splice(0, Math.max(since, 0));
    evidence.ends.push({ atMs: now, isLost });
  }
}

/** Removes excess parts: those with the fewest losses that count, the oldest first. */
function trimParts({ byPart }: Evidence): void {
  if (byPart.size > MAX_PARTS) {
    const count = ({ losses }: PartRecord) => losses.filter(({ isCleared }) => !isCleared).length;
    const last = ({ losses }: PartRecord) => losses[losses.length - 1].lostMs;
    [...byPart]
      .sort(([, a], [, b]) => count(a) - count(b) || last(a) - last(b))
      .slice(0, byPart.size - MAX_PARTS)
      .forEach(([part]) => byPart.delete(part));
  }
}

/** Adds the loss of a run with a part; of several at one server, the one sent last is kept. */
function addLoss(evidence: Evidence, part: string, loss: Loss): void {
  const soundMs = evidence.sound.get(part) ?? -Infinity;
  const created = { losses: [], soundMs, trialMs: -Infinity };
  const record: PartRecord = evidence.byPart.get(part) ?? created;
  const known = record.losses.find(({ serverId }) => serverId === loss.serverId);
  if (known !== undefined) {
    known.sentMs = Math.max(known.sentMs, loss.sentMs);
    return;
  }
  const isCleared = loss.isCleared || loss.lostMs <= record.soundMs;
  record.losses = [...record.losses, { ...loss, isCleared }]
    .sort((a, b) => a.lostMs - b.lostMs)
    .slice(-MAX_LOSSES);
  evidence.byPart.set(part, record);
  trimParts(evidence);
}

/** Clears the losses of a part up to a time; returns whether that changed anything. */
function clearPart({ byPart }: Evidence, part: string, soundMs: number): boolean {
  const record = byPart.get(part);
  const isChanged = record?.losses.some((one) => !one.isCleared && one.lostMs <= soundMs) ?? false;
  record?.losses
    .filter(({ lostMs }) => lostMs <= soundMs)
    .forEach((loss) => Object.assign(loss, { isCleared: true }));
  if (record !== undefined) {
    record.soundMs = Math.max(record.soundMs, soundMs);
  }
  return isChanged;
}

/** Lists the parts that are refused: again and again the one that explains most of what is left. */
function listSuspects({ byPart, options }: Evidence): Suspect[] {
  const suspects: Suspect[] = [];
  const explained = new Set<string>();
  for (;;) {
    const [first] = [...byPart]
      .filter(([part]) => suspects.every((one) => one.part !== part))
      .map(([part, record]) => {
        const losses = record.losses.filter(({ serverId }) => !explained.has(serverId));
        return { part, losses, score: options.rateLosses(losses), record };
      })
      .filter(({ score }) => score >= 1)
      .sort(
        (a, b) =>
          (options.isUnprovenFirst
            ? Number(a.record.soundMs > 0) - Number(b.record.soundMs > 0)
            : 0) ||
          b.score - a.score ||
          b.losses.length - a.losses.length,
      );
    if (first === undefined) {
      return suspects;
    }
    suspects.push(first);
    if (options.isExplained) {
      first.losses.forEach(({ serverId }) => explained.add(serverId));
    }
  }
}

/** Computes the turn of a gateway to try a part. */
function computeTurn({ gateway, options }: Evidence, part: string): number {
  const start = [...part].reduce((hash, one) => hash * HASH_FACTOR + one.charCodeAt(0), 0);
  return Math.min((start + gateway) % options.gateways, MAX_TURN);
}

/** Decides about a request with some parts. */
function admit(evidence: Evidence, parts: readonly string[], now: number): fleetReplay.Verdict {
  if (parts.every((part) => !evidence.byPart.has(part))) {
    return 'run';
  }
  const suspects = listSuspects(evidence).filter(({ part }) => parts.includes(part));
  const isDue = suspects.every(({ part, losses, score, record }) => {
    const dueMs = evidence.options.computeTrialMs(losses, score);
    const turnMs = computeTurn(evidence, part) * evidence.options.turnMs;
    return now >= Math.max(dueMs + turnMs, record.trialMs + MIN_TRIAL_MS);
  });
  if (suspects.length === 0 || !isDue) {
    return suspects.length === 0 ? 'run' : 'refuse';
  }
  suspects.forEach(({ record }) => Object.assign(record, { trialMs: now }));
  return 'trial';
}

/** Adds the losses that have settled. */
function applyLosses(evidence: Evidence, now: number): void {
  const { settleMs } = evidence.options;
  const settled = evidence.pending.filter(({ run }) => now - run.lostMs >= settleMs);
  evidence.pending = evidence.pending.filter((one) => !settled.includes(one));
  settled.forEach(({ run: { parts, ...run }, cleared }) => {
    const weight = settleMs > 0 ? computeWeight(evidence, run.lostMs) : 0;
    const uncleared = parts.filter((part) => !cleared.has(part));
    const loss = { ...run, weight, isCleared: false };
    uncleared.forEach((part) => addLoss(evidence, part, loss));
    evidence.changes.push({ parts: uncleared, loss, changedMs: now, isSent: false });
  });
}

/** Records a run that has completed, or whose stream has gone on for long enough. */
function noteSound(evidence: Evidence, parts: readonly string[], now: number): void {
  noteEnd(evidence, false, now);
  evidence.pending.forEach(({ cleared }) => parts.forEach((part) => cleared.add(part)));
  if (evidence.options.isSoundKept) {
    parts.forEach((part) => {
      evidence.sound.delete(part);
      evidence.sound.set(part, now);
    });
    if (evidence.sound.size > MAX_SOUND) {
      const [oldest] = evidence.sound.keys();
      evidence.sound.delete(oldest);
    }
  }
  const changed = parts.filter((part) => clearPart(evidence, part, now));
  if (changed.length > 0) {
    evidence.changes.push({ parts: changed, changedMs: now, isSent: false });
  }
}

/** Builds messages of limited length. */
function buildMessages(changes: readonly Change[]): fleetReplay.Message[] {
  const messages: { content: Change[]; bytes: number }[] = [];
  changes.forEach((change) => {
    const bytes = CHANGE_BYTES + PART_BYTES * change.parts.length;
    const last = messages[messages.length - 1];
    if (last === undefined || last.bytes + bytes > MESSAGE_BYTES) {
      messages.push({ content: [change], bytes });
    } else {
      last.content.push(change);
      last.bytes += bytes;
    }
  });
  return messages;
}

/** Collects what was not sent, or what a report repeats: the latest changes. */
function collect(evidence: Evidence, isReport: boolean, now: number): fleetReplay.Message[] {
  applyLosses(evidence, now);
  evidence.changes = evidence.changes.filter(({ changedMs }) => now - changedMs < REPEAT_MS);
  const unsent = evidence.changes.filter(({ isSent }) => !isSent);
  unsent.forEach((change) => Object.assign(change, { isSent: true }));
  return isReport
    ? buildMessages([...evidence.changes].reverse()).slice(0, 1)
    : buildMessages(unsent);
}

/** Collects the losses of the parts that have most of them. */
function collectAll({ byPart }: Evidence, now: number): fleetReplay.Message[] {
  const count = ({ losses }: PartRecord) => losses.filter(({ isCleared }) => !isCleared).length;
  const changes = [...byPart]
    .sort(([, a], [, b]) => count(b) - count(a))
    .flatMap(([part, { losses }]) =>
      losses.map((loss) => ({ parts: [part], loss, changedMs: now, isSent: true })),
    );
  return buildMessages(changes).slice(0, 1);
}

/** Applies the changes of another gateway. */
function receive(evidence: Evidence, { content }: fleetReplay.Message): void {
  (content as Change[]).forEach(({ parts, loss, changedMs }) =>
    parts.forEach((part) =>
      loss === undefined ? clearPart(evidence, part, changedMs) : addLoss(evidence, part, loss),
    ),
  );
}

/** Creates a policy that weighs losses by part. */
export function createEvidencePolicy(
  options: EvidenceOptions,
  gateway: number,
): fleetReplay.PartPolicy {
  const empty = {
    byPart: new Map<string, PartRecord>(),
    pending: [],
    changes: [],
    ends: [],
    sound: new Map<string, number>(),
  };
  const evidence: Evidence = { options, gateway, ...empty };
  return {
    noteLost: (run, now) => {
      noteEnd(evidence, true, now);
      evidence.pending.push({ run, cleared: new Set() });
      applyLosses(evidence, now);
    },
    noteSound: (parts, now) => noteSound(evidence, parts, now),
    admit: (parts, now) => admit(evidence, parts, now),
    collect: (isReport, now) => collect(evidence, isReport, now),
    collectAll: (now) => collectAll(evidence, now),
    receive: (message) => receive(evidence, message),
    countParts: () => evidence.byPart.size,
  };
}
