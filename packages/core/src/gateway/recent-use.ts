/**
 * Records which workspaces use a service through this gateway, and how much.
 *
 * Load addressed: requests of one workspace are spread over the cells of a service, and a cell may
 * get another scheduler. With what a workspace used recently in all cells, each scheduler keeps the
 * order in which a single queue would serve the workspaces.
 */
import * as schema from '@toucanproxy/schema';
import * as decayingCount from '../shared/decaying-count.js';
import * as scheduler from '../scheduler/index.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';

export type WorkspaceUse = {
  /** Work of the requests that were sent, tokens, by urgency. */
  workTokens: Map<number, decayingCount.DecayingCount>;
  /** When a slot was last requested, milliseconds. */
  askedMs: number;
};

/** Use of a service by workspace, in the order of the latest requests for a slot. */
export type ServiceUse = Map<string, WorkspaceUse>;

export type WorkspaceShare = { workspace: string; share: number };

/** Number of workspaces above which the record of the least recent one is discarded. */
const MAX_WORKSPACES = 4096;
/** A workspace counts as active for this time after its last request, milliseconds. */
const ACTIVE_MS = 60_000;
/** Maximum number of workspaces in one report of recent use, so that it fits the message. */
const MAX_REPORTED = 8;
/** Maximum number of workspaces in metrics and status; bounds what collects them. */
const MAX_LISTED = 20;

/** Records that a request of a workspace needs a slot. */
export function noteAsk(use: ServiceUse, workspace: string, now: number): void {
  const known = use.get(workspace) ?? { workTokens: new Map(), askedMs: now };
  known.askedMs = now;
  use.delete(workspace);
  use.set(workspace, known);
  const [oldest, { askedMs }] = use.entries().next().value ?? [workspace, known];
  if (use.size > MAX_WORKSPACES || now - askedMs > ACTIVE_MS) {
    use.delete(oldest);
  }
}

/** Records the work of a request that is sent to a backend server. */
export function noteSent(
  use: ServiceUse,
  { workspace, urgency, workTokens }: gatewayRequest.GatewayRequest,
  now: number,
): void {
  const counts = use.get(workspace)?.workTokens;
  const count = counts?.get(urgency) ?? decayingCount.createDecayingCount();
  counts?.set(urgency, count);
  decayingCount.addCount(count, workTokens, now, scheduler.USE_DECAY_MS);
}

/** Takes back the work of a request that was sent and not run. */
export function noteNotRun(
  use: ServiceUse,
  { workspace, urgency, workTokens, sentMs }: gatewayRequest.GatewayRequest,
  now: number,
): void {
  const count = use.get(workspace)?.workTokens.get(urgency);
  if (count !== undefined) {
    const left = workTokens * Math.exp((sentMs - now) / scheduler.USE_DECAY_MS);
    decayingCount.addCount(count, -left, now, scheduler.USE_DECAY_MS);
    count.value = Math.max(count.value, 0);
  }
}

/** Lists the recent use of a service by the workspaces with the highest use per share. */
export function listRecentUse(
  use: ServiceUse,
  shares: ReadonlyMap<string, number> | undefined,
  now: number,
): schema.RecentUse[] {
  return [...use]
    .filter(([, { askedMs }]) => now - askedMs <= ACTIVE_MS)
    .map(([workspace, { workTokens }]) => {
      const tiers = [...workTokens]
        .map(([urgency, count]) => ({
          urgency,
          workTokens: scheduler.toWireNumber(
            decayingCount.getCount(count, now, scheduler.USE_DECAY_MS),
          ),
        }))
        .filter((tier) => tier.workTokens > 0);
      const all = tiers.reduce((sum, tier) => sum + tier.workTokens, 0);
      return { workspace, tiers, perShare: all / (shares?.get(workspace) ?? 1) };
    })
    .filter(({ perShare }) => perShare > 0)
    .sort((a, b) => b.perShare - a.perShare)
    .slice(0, MAX_REPORTED)
    .map(({ workspace, tiers }) => schema.create(schema.RecentUseSchema, { workspace, tiers }));
}

/**
 * Lists the shares of the workspaces that had requests within `ACTIVE_MS`, the most recent ones
 * first and at most `MAX_LISTED`.
 */
export function listActiveShares(
  { services, index }: gatewayState.GatewayState,
  now: number,
): WorkspaceShare[] {
  const recent = [...services.values()]
    .flatMap(({ use }) => [...use])
    .filter(([workspace, { askedMs }]) => workspace !== '' && now - askedMs <= ACTIVE_MS)
    .sort(([, a], [, b]) => b.askedMs - a.askedMs)
    .map(([workspace]) => workspace);
  return [...new Set(recent)]
    .slice(0, MAX_LISTED)
    .map((workspace) => ({ workspace, share: index?.shareByWorkspace.get(workspace) ?? 1 }));
}
