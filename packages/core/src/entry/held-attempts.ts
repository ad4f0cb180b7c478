/**
 * Finds the requests that wait for an attempt: the one that offered it and those
 * that joined it.
 */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import type * as entryState from './entry-state.js';

/** A request of this entry and the attempt that it waits for. */
export type HeldAttempt = { request: entryState.EntryRequest; target: entryState.Target };

/** Lists the requests whose current attempt on this agent is the referenced one. */
export function listHeldAttempts(
  state: entryState.EntryState,
  backendServerId: string,
  ref: schema.AttemptRef | undefined,
): HeldAttempt[] {
  if (ref === undefined) {
    return [];
  }
  const refKey = attemptRef.toRefKey(ref);
  const joined = state.joins.get(refKey) ?? [];
  return [...new Set([ref.requestId, ...joined])].flatMap((requestId): HeldAttempt[] => {
    const request = state.requests.get(requestId);
    const target = request?.target;
    // A message of an earlier attempt, or of another agent, may arrive late over a
    // link that was considered dead. Accepting it would mix two runs into one
    // response.
    const same =
      target !== undefined &&
      target.backendServerId === backendServerId &&
      attemptRef.toRefKey(target.ref) === refKey;
    return request !== undefined && same ? [{ request, target }] : [];
  });
}

/**
 * Whether another request of this entry waits for the same attempt. The agent
 * keeps one subscription for each link, so a cancellation by one request would
 * abort the response of the others.
 */
export function isShared(state: entryState.EntryState, target: entryState.Target): boolean {
  return listHeldAttempts(state, target.backendServerId, target.ref).length > 1;
}

/** Records that a request reads the response of another call's attempt. */
export function addJoin(state: entryState.EntryState, refKey: string, requestId: string): void {
  const joined = state.joins.get(refKey) ?? new Set();
  joined.add(requestId);
  state.joins.set(refKey, joined);
}

/** Removes a join that has ended. */
export function removeJoin(state: entryState.EntryState, refKey: string, requestId: string): void {
  const joined = state.joins.get(refKey);
  joined?.delete(requestId);
  if (joined?.size === 0) {
    state.joins.delete(refKey);
  }
}
