/** Applies what runs show of the parts of their prompts, and refuses requests with refused parts. */
import * as schema from '@toucanproxy/schema';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as partLosses from './part-losses.js';
import * as partSuspension from './part-suspension.js';
import * as refusal from './refusal.js';
import * as trialTurns from './trial-turns.js';

/** Time after its first event from which on a stream proves its parts to be sound, milliseconds. */
const SOUND_STREAM_MS = 1000;
/**
 * Gateways with a later turn than this one to try a refused part take it together: by then nearly
 * all of a large fleet know of a trial that was sent in an earlier turn.
 */
const MAX_TURN = 30;
/** Time for which an admitted trial may wait until another one is admitted, milliseconds. */
const TRIAL_WAIT_MS = 1000;

/** Lists the parts that other prompts may share: all but the last one. */
function listSharedParts({ arrived }: gatewayRequest.GatewayRequest): readonly string[] {
  return arrived.promptParts?.slice(0, -1) ?? [];
}

/** Records that a run ended without a response, unless it had streamed for long enough. */
export function noteLostParts(
  { partLosses: losses }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
  isSilent: boolean,
): void {
  const { serverId, serverBornMs: bornMs, sentMs, soundMs } = request;
  const parts = listSharedParts(request);
  if (serverId !== undefined && soundMs === -Infinity && parts.length > 0) {
    const run = { parts, serverId, bornMs, sentMs, lostMs: now, isSilent };
    partLosses.noteLostPartRun(losses, run, now);
  }
}

/** Records that a run has proved its parts to be sound; returns whether they had losses. */
export function noteSoundRun(
  { partLosses: losses }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  request.soundMs = now;
  const parts = listSharedParts(request);
  if (parts.length === 0) {
    return false;
  }
  partLosses.recordSample(losses, parts, now);
  return losses.byPart.size > 0 && partLosses.noteSoundParts(losses, parts, now);
}

/**
 * Records that events of a stream have arrived; returns whether they cleared losses of its parts.
 * A stream proves its parts to be sound again after each loss that has been recorded since.
 */
export function noteStreamed(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  const isSound = now - request.firstEventMs >= SOUND_STREAM_MS;
  const isNews = request.soundMs === -Infinity || request.soundMs < state.partLosses.changedMs;
  return isSound && isNews && noteSoundRun(state, request, now);
}

/** Returns the refused part of a request's prompt that may be tried last; undefined if none is. */
export function findRequestPart(
  { partLosses: losses }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): partLosses.PartSuspension | undefined {
  return losses.byPart.size > 0
    ? partSuspension.findSuspendedPart(losses, listSharedParts(request), now)
    : undefined;
}

/** Builds the refusal of a request with a part that may be tried again at a given time. */
function buildPartRefusal(part: string, trialMs: number, now: number): refusal.Refusal {
  const { CONTENT_SUSPENDED } = schema.ResultCode;
  return { ...refusal.buildRefusal(CONTENT_SUSPENDED, trialMs - now), part };
}

/** Returns the refusal of an arriving request with a refused part; admits it as a trial. */
export function findArrivalRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const found = findRequestPart(state, request, now);
  if (found === undefined) {
    return undefined;
  }
  const { part, trialMs } = found;
  const record = partLosses.getRecord(state.partLosses, part);
  const turnMs = trialMs + trialTurns.computeTurnMs(state, part, MAX_TURN, now);
  const dueMs = Math.max(turnMs, record.admittedMs + TRIAL_WAIT_MS);
  if (now < dueMs) {
    return buildPartRefusal(part, dueMs, now);
  }
  record.admittedMs = now;
  request.isTrial = true;
  return undefined;
}

/** Returns the refusal of an admitted request if a part of its prompt has been refused since. */
export function findSuspension(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const found = findRequestPart(state, request, now);
  if (found === undefined) {
    return undefined;
  }
  const { isTrial, sends, runs } = request;
  const isAllowed = isTrial && (now >= found.trialMs || (sends > 0 && runs === 0));
  return isAllowed ? undefined : buildPartRefusal(found.part, found.trialMs, now);
}

/** Records that a request is about to be sent, which is a trial if it has a refused part. */
export function noteSent(
  { partLosses: losses }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  if (request.isTrial && request.sends === 0) {
    const suspended = partSuspension.listSuspendedParts(losses);
    const parts = listSharedParts(request).filter((part) => suspended.has(part));
    partLosses.noteTrial(losses, parts, now);
  }
}

/** A refused part of prompts, for operators. */
export type SuspendedPart = { part: string; losses: number; trialLeftMs: number };

/** Lists the parts of prompts that are refused at present. */
export function listSuspended(
  { partLosses: losses }: gatewayState.GatewayState,
  now: number,
): SuspendedPart[] {
  return [...partSuspension.listSuspendedParts(losses).values()].map(
    ({ part, losses: count, trialMs }) => ({
      part,
      losses: count,
      trialLeftMs: Math.max(trialMs - now, 0),
    }),
  );
}
