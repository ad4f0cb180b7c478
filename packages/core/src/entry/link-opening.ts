/** Opens and closes links: those that are kept, and those that a claim or a join needs. */
import * as requestAccounting from './request-accounting.js';
import * as entryEvent from './entry-event.js';
import type * as entryState from './entry-state.js';
import * as keyClaim from './key-claim.js';

/**
 * Delay before a link that failed is opened again, milliseconds; the jitter is
 * added to the minimum.
 */
const REOPEN_MIN_MS = 100;
const REOPEN_JITTER_MS = 400;

/** How long a link on demand stays open after it was last needed, milliseconds. */
const ON_DEMAND_IDLE_MS = 3000;

/** Whether a link should be open now. */
export function isWanted(view: entryState.AgentView, now: number): boolean {
  const needed = view.lastNeededMs > 0 && now - view.lastNeededMs <= ON_DEMAND_IDLE_MS;
  return view.kept || view.heldIds.size > 0 || needed;
}

/** Opens the link to one agent if it is needed and not open. */
export function openIfWanted(view: entryState.AgentView, now: number): entryEvent.EntryEffect[] {
  const open = view.linked || view.opening;
  if (open || now < view.nextOpenMs || !isWanted(view, now)) {
    return [];
  }
  view.opening = true;
  view.lastReceivedMs = now;
  const { backendServerId, address } = view;
  return [{ kind: 'openLink', backendServerId, address }];
}

/** Records that a link is needed, and opens it if it is not open. */
export function openOnDemand(view: entryState.AgentView, now: number): entryEvent.EntryEffect[] {
  view.lastNeededMs = now;
  return openIfWanted(view, now);
}

/** Records that a link is closed. Its requests wait to be resumed over a new one. */
export function handleLinkClosed(
  state: entryState.EntryState,
  backendServerId: string,
  now: number,
): entryEvent.EntryEffect[] {
  const view = state.agents.get(backendServerId);
  if (view !== undefined) {
    requestAccounting.markUnlinked(state, view, now);
    keyClaim.resetUnansweredClaims(state, backendServerId);
    view.nextOpenMs = now + REOPEN_MIN_MS + state.policy.drawRandom() * REOPEN_JITTER_MS;
  }
  return [];
}

/** Closes a link. Its attempts are resumed over the next one. */
export function abandonLink(
  state: entryState.EntryState,
  view: entryState.AgentView,
  now: number,
): entryEvent.EntryEffect[] {
  const { backendServerId } = view;
  handleLinkClosed(state, backendServerId, now);
  return [{ kind: 'closeLink', backendServerId }];
}
