/** Callers under a virtual clock: the requests they send and the responses they receive. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callPayload from './call-payload.js';
import * as exampleDocument from './example-document.js';

export type CallPlan = {
  service: string;
  path: string;
  token: string;
  /** Value of the Idempotency-Key header; empty for none. */
  key: string;
  /** Timeout that the caller requests, milliseconds. */
  timeoutMs: number;
  payload: callPayload.CallPayload;
  prefixHashes: number[];
};

export type CallerEffect = Extract<
  core.EntryEffect,
  { kind: 'answerHead' | 'answerData' | 'answerEnd' | 'answerFailure' }
>;

/** How a call ended for its caller. */
export type CallOutcome =
  | { kind: 'completed' }
  | {
      kind: 'failed';
      requestId: string;
      code: schema.ResultCode;
      runState: schema.RunState;
      retryAfterMs: number;
    }
  /** The connection to the entry broke, or could not be opened. */
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
  outcomes: CallOutcome[];
  endedMs: number;
  hasDisconnected: boolean;
};

const decoder = new TextDecoder();
const tokenHashes = new Map<string, string>();

/** Hashes a token, and caches the hash. */
function hashTokenCached(token: string): string {
  const known = tokenHashes.get(token) ?? exampleDocument.hashToken(token);
  tokenHashes.set(token, known);
  return known;
}

/** Builds the request in the form in which a daemon passes it to its core. */
export function buildArrivedRequest(call: Call): core.ArrivedRequest {
  const { plan } = call;
  const { promptTokens, answerTokens } = plan.payload;
  return {
    callerId: call.callerId,
    service: plan.service,
    method: 'POST',
    path: plan.path,
    contentType: 'application/json',
    payload: callPayload.encodePayload(plan.payload),
    tokenSha256: hashTokenCached(plan.token),
    key: plan.key,
    timeoutMs: plan.timeoutMs,
    contentDigest: `${hashTokenCached(plan.token)}${plan.payload.contentId}`,
    estimatedTokens: promptTokens + answerTokens,
    prefixHashes: plan.prefixHashes,
  };
}

/** Records how and when a call ended. */
export function recordOutcome(call: Call, outcome: CallOutcome, now: number): void {
  call.outcomes.push(outcome);
  call.endedMs = now;
}

/** Records a part of the response to a call. */
export function receiveResponse(call: Call, effect: CallerEffect, now: number): void {
  switch (effect.kind) {
    case 'answerHead':
      call.headCount += 1;
      call.firstByteMs = now;
      return;
    case 'answerData':
      call.text += decoder.decode(effect.data);
      return;
    case 'answerEnd':
      recordOutcome(call, { kind: 'completed' }, now);
      return;
    default: {
      const { requestId, code, runState, retryAfterMs } = effect;
      recordOutcome(call, { kind: 'failed', requestId, code, runState, retryAfterMs }, now);
    }
  }
}
