/** Callers under a virtual clock: what they send and what they get. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callPayload from './call-payload.js';
import * as exampleDocument from './example-document.js';

export type CallPlan = {
  service: string;
  path: string;
  token: string;
  /** Idempotency-Key; empty for none. */
  key: string;
  /** Time the caller allows, milliseconds. */
  timeoutMs: number;
  payload: callPayload.CallPayload;
  prefixHashes: number[];
};

export type CallerEffect = Extract<
  core.EntryEffect,
  { kind: 'answerHead' | 'answerData' | 'answerEnd' | 'answerFailure' }
>;

/** How a call ended for its caller. */
export type Final =
  | { kind: 'completed' }
  | {
      kind: 'failed';
      requestId: string;
      code: schema.ResultCode;
      runState: schema.RunState;
      retryAfterMs: number;
    }
  /** The connection to the entry broke, or was never made. */
  | { kind: 'broken' };

/** One call through one entry. */
export type Call = {
  callerId: number;
  plan: CallPlan;
  entryId: string;
  entryLife: number;
  sentMs: number;
  text: string;
  headCount: number;
  firstByteMs: number;
  outcomes: Final[];
  endedMs: number;
  hasDisconnected: boolean;
};

const decoder = new TextDecoder();
const tokenHashes = new Map<string, string>();

/** Hashes a token once. */
function hashOnce(token: string): string {
  const known = tokenHashes.get(token) ?? exampleDocument.hashToken(token);
  tokenHashes.set(token, known);
  return known;
}

/** Builds the request as a daemon hands it to its core. */
export function buildArrived(call: Call): core.ArrivedRequest {
  const { plan } = call;
  const { promptTokens, answerTokens } = plan.payload;
  return {
    callerId: call.callerId,
    service: plan.service,
    method: 'POST',
    path: plan.path,
    contentType: 'application/json',
    payload: callPayload.encodePayload(plan.payload),
    tokenSha256: hashOnce(plan.token),
    key: plan.key,
    timeoutMs: plan.timeoutMs,
    contentDigest: `${hashOnce(plan.token)}${plan.payload.contentId}`,
    estimatedTokens: promptTokens + answerTokens,
    prefixHashes: plan.prefixHashes,
  };
}

/** Notes the end of a call. */
export function recordFinal(call: Call, final: Final, now: number): void {
  call.outcomes.push(final);
  call.endedMs = now;
}

/** Takes what an entry answers. */
export function receiveAnswer(call: Call, effect: CallerEffect, now: number): void {
  switch (effect.kind) {
    case 'answerHead':
      call.headCount += 1;
      call.firstByteMs = now;
      return;
    case 'answerData':
      call.text += decoder.decode(effect.data);
      return;
    case 'answerEnd':
      recordFinal(call, { kind: 'completed' }, now);
      return;
    default: {
      const { requestId, code, runState, retryAfterMs } = effect;
      recordFinal(call, { kind: 'failed', requestId, code, runState, retryAfterMs }, now);
    }
  }
}
