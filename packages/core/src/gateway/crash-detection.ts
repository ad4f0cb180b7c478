/**
 * Identifies request content that crashes backend servers and decides when it is refused.
 *
 * A request whose content crashes an engine is retried, by its caller or by a gateway. Each run ends
 * a backend server and fails all other requests there. A run counts as a loss as soon as it ends
 * without a response, until its backend server is heard again: entries of lost servers expire
 * seconds later, and some servers fall silent instead of resetting connections. Content is refused
 * after two losses in sequence, or if three servers have fallen silent. A complete response clears its losses, so that content that ran
 * next to the cause is served again. Refused content is admitted once in a while, as a trial,
 * because it could not complete otherwise.
 */
import * as schema from '@toucanproxy/schema';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as lostRuns from './lost-runs.js';
import * as partLosses from './part-losses.js';
import * as promptParts from './prompt-parts.js';
import * as refusal from './refusal.js';
import * as trialTurns from './trial-turns.js';

/** Losses in sequence from which on content is refused. */
const MAX_LOSSES = 2;
/** Servers that have fallen silent from which on their content is refused, also if all at once. */
const MAX_SILENT = 3;
/** Time from the last loss to the first trial of refused content, milliseconds. */
const FIRST_TRIAL_MS = 1000;
/** Factor by which the time to the next trial grows with each trial that ends in a loss. */
const TRIAL_FACTOR = 10;
/** Gateways with a later turn than this one to try refused content take it together. */
const MAX_TURN = 4;
/**
 * A server that restarts under its id may send responses before its new entry is read. What was
 * heard only within this time after a loss does not show that it lived on, milliseconds.
 */
const RESTART_MS = 5000;

/**
 * A cancelled run counts as a loss only if nothing has arrived from its server for this time,
 * milliseconds. Callers that leave early often do so before any response is due.
 */
const SILENCE_MS = 500;

/** Computes the digest of a request's content, which includes its workspace. */
function hashContent({ arrived, workspace }: gatewayRequest.GatewayRequest): string {
  return arrived.hashContent(workspace);
}

/** Returns the incarnation of the backend server that a request was assigned to. */
function findIncarnation({
  serverId,
  serverBornMs: bornMs,
}: gatewayRequest.GatewayRequest): lostRuns.ServerIncarnation | undefined {
  return serverId === undefined ? undefined : { serverId, bornMs };
}

/** Records that bytes have arrived from the backend server of a request. */
export function noteServerHeard(
  { lostRuns: runs, partLosses: parts }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  const incarnation = findIncarnation(request);
  if (incarnation !== undefined) {
    lostRuns.noteHeard(runs, incarnation, now);
    partLosses.noteHeardServer(parts, incarnation, now);
  }
}

/** Records that a request's run ended without a response. */
export function noteLostRun(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
  isSilent = false,
): void {
  const { lostRuns: runs } = state;
  const incarnation = findIncarnation(request);
  if (incarnation === undefined) {
    return;
  }
  promptParts.noteLostParts(state, request, now, isSilent);
  const digest = hashContent(request);
  const times = { sentMs: request.sentMs, lostMs: now, changedMs: now };
  const run = { ...incarnation, ...times, isSilent, isCleared: false };
  if (lostRuns.addRun(runs, { ...run, digest })) {
    runs.unsent.set(digest, true);
  }
}

/**
 * Records that a request's run was cancelled, because its time was over or its caller had left. That
 * counts as a loss if nothing arrives from the backend server any more.
 */
export function noteCancelledRun(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  const incarnation = findIncarnation(request);
  const hasWaited = now - request.sentMs > SILENCE_MS;
  if (
    incarnation !== undefined &&
    hasWaited &&
    lostRuns.isServerSilent(state.lostRuns, incarnation, SILENCE_MS, now)
  ) {
    noteLostRun(state, request, now, true);
  }
}

/** Clears the losses of content that has completed; returns whether there were any. */
export function noteCompleteResponse(
  { lostRuns: runs }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  return runs.byDigest.size > 0 && lostRuns.clearContent(runs, hashContent(request), now);
}

/** Decides what the losses at a backend server mean that has restarted or is gone. */
export function handleServerEnd(
  { lostRuns: runs, partLosses: parts }: gatewayState.GatewayState,
  serverId: string,
  isRestart: boolean,
  now: number,
): void {
  lostRuns.forgetServer(runs, serverId, now, isRestart ? RESTART_MS : undefined);
  if (isRestart) {
    partLosses.handleRestart(parts, serverId, RESTART_MS);
  }
}

/** Counts losses in sequence; several servers that have fallen silent together count as enough. */
function countLosses(counted: readonly lostRuns.LostRun[]): number {
  const losses = lostRuns.countSequence(counted);
  const silent = counted.filter(({ isSilent }) => isSilent).length;
  return silent >= MAX_SILENT ? Math.max(losses, MAX_LOSSES) : losses;
}

/** Computes when content with a number of losses in sequence may be tried again. */
function computeTrialMs(counted: readonly lostRuns.LostRun[], losses: number): number {
  const lastMs = Math.max(...counted.map(({ lostMs }) => lostMs));
  return lastMs + FIRST_TRIAL_MS * TRIAL_FACTOR ** (losses - MAX_LOSSES);
}

/** The losses of refused content, and when it may be tried again. */
type Suspension = { losses: number; trialMs: number };

/** Returns the suspension of content with a digest; undefined if it is not refused. */
function findSuspensionOf(runs: lostRuns.LostRuns, digest: string): Suspension | undefined {
  const counted = lostRuns.listCounted(runs, digest);
  const losses = countLosses(counted);
  return losses >= MAX_LOSSES ? { losses, trialMs: computeTrialMs(counted, losses) } : undefined;
}

/** Returns when the content of a request may be tried again; undefined if it is not refused. */
function findTrialMs(
  { lostRuns: runs }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): number | undefined {
  return runs.byDigest.size > 0 ? findSuspensionOf(runs, hashContent(request))?.trialMs : undefined;
}

/** Refused content, for operators. */
export type SuspendedContent = { digest: string; losses: number; trialLeftMs: number };

/** Lists the contents that are refused at present. */
export function listSuspendedContents(
  { lostRuns: runs }: gatewayState.GatewayState,
  now: number,
): SuspendedContent[] {
  return [...runs.byDigest.keys()].flatMap((digest) => {
    const found = findSuspensionOf(runs, digest);
    return found === undefined
      ? []
      : [{ digest, losses: found.losses, trialLeftMs: Math.max(found.trialMs - now, 0) }];
  });
}

/** Returns whether the content of a request is refused at present, apart from trials. */
export function isContentSuspended(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): boolean {
  return findTrialMs(state, request) !== undefined;
}

/** Builds the refusal of content that may be tried again at a given time. */
function buildSuspension(trialMs: number, now: number): refusal.Refusal {
  return refusal.buildRefusal(schema.ResultCode.CONTENT_SUSPENDED, trialMs - now);
}

/**
 * Returns the refusal of an arriving request if its content or a part of its prompt is refused;
 * admits it as a trial.
 */
export function findArrivalRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const partRefusal = promptParts.findArrivalRefusal(state, request, now);
  if (partRefusal !== undefined) {
    return partRefusal;
  }
  const trialMs = findTrialMs(state, request);
  if (trialMs === undefined) {
    return undefined;
  }
  const digest = hashContent(request);
  const record = state.lostRuns.byDigest.get(digest) as lostRuns.ContentRecord;
  const turnMs = trialMs + trialTurns.computeTurnMs(state, digest, MAX_TURN, now);
  const dueMs = Math.max(turnMs, record.trialMs + FIRST_TRIAL_MS);
  if (now < dueMs) {
    return buildSuspension(dueMs, now);
  }
  record.trialMs = now;
  request.isTrial = true;
  return undefined;
}

/** Returns the refusal of an admitted request if its content or a part has been refused since. */
export function findSuspension(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const trialMs = findTrialMs(state, request);
  const isAllowed = trialMs === undefined || (request.isTrial && now >= trialMs);
  return isAllowed
    ? promptParts.findSuspension(state, request, now)
    : buildSuspension(trialMs, now);
}
