/** Sends requests to a small fleet and reports their outcomes. */
import * as schema from '@toucanproxy/schema';
import type * as core from '../index.js';
import * as links from './small-fleet-links.js';
import * as state from './small-fleet-state.js';

/** Sends a request with an idempotency key to an entry. */
export function sendCall(
  fleet: state.SmallFleet,
  entryId: string,
  callerId: number,
  fields: Partial<core.ArrivedRequest> = {},
): void {
  const request: core.ArrivedRequest = {
    callerId,
    service: state.SERVICE,
    method: 'POST',
    path: '/order',
    contentType: 'application/json',
    payload: new Uint8Array(),
    tokenSha256: 'token',
    key: buildKey(fleet.now),
    timeoutMs: 20_000,
    contentDigest: 'digest',
    estimatedTokens: 10,
    prefixHashes: [],
    ...fields,
  };
  links.applyToEntry(fleet, entryId, { kind: 'requestArrived', request });
  links.deliverMessages(fleet);
}

/** Completes the response of a dispatched attempt; its one byte is the index of the attempt. */
export function completeRun(fleet: state.SmallFleet, index: number): void {
  const { agentId, refKey } = fleet.dispatched[index];
  const head = { kind: 'engineHead', refKey, status: 200, contentType: 'text/plain' } as const;
  links.applyToAgent(fleet, agentId, head);
  links.applyToAgent(fleet, agentId, { kind: 'engineData', refKey, data: new Uint8Array([index]) });
  links.applyToAgent(fleet, agentId, { kind: 'engineEnd', refKey });
  links.deliverMessages(fleet);
}

/** Builds a version 7 UUID that was issued at the given time. */
export function buildKey(issuedMs: number, serial = 1): string {
  const time = issuedMs.toString(16).padStart(12, '0');
  const tail = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

/** Formats the outcome for a caller: "answer" and its bytes, a failure, or "" if it is pending. */
export function formatOutcome(fleet: state.SmallFleet, callerId: number): string {
  const effects = fleet.responses.get(callerId) ?? [];
  const failure = effects.find((effect) => effect.kind === 'answerFailure');
  if (failure?.kind === 'answerFailure') {
    return `${schema.ResultCode[failure.code]} ${schema.RunState[failure.runState]}`;
  }
  const bytes = effects.flatMap((effect) => (effect.kind === 'answerData' ? [...effect.data] : []));
  return effects.some((effect) => effect.kind === 'answerEnd') ? `answer ${bytes.join()}` : '';
}
