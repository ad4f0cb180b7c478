/** Graceful shutdown: gives each request an end that comes before that of the process. */
import * as entryState from './entry-state.js';
import * as requestAccounting from './request-accounting.js';

/**
 * Time before the end of the process by which requests have ended, milliseconds: agents may take a part
 * of it to report what became of their attempts, and the responses are sent in the rest.
 */
const END_MS = 2 * requestAccounting.WITHDRAW_GRACE_MS;

/**
 * Begins a graceful shutdown. The deadline of each request is moved to before the end of the process, so
 * that it ends as any other request that is overdue.
 *
 * @param graceMs time until the process is killed, milliseconds; 0 if nothing limits it
 */
export function startShutdown(state: entryState.EntryState, graceMs: number, now: number): void {
  state.shutdownStarted = true;
  if (graceMs === 0) {
    return;
  }
  const endMs = now + Math.max(graceMs - END_MS, 0);
  state.requests.forEach((request) => {
    if (request.deadlineMs > endMs) {
      request.deadlineMs = endMs;
      request.endsAtShutdown = true;
      requestAccounting.updateDueTime(state, request, now);
    }
  });
}
