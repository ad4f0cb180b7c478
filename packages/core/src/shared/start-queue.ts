/**
 * A queue of attempts and reservations that wait for a slot on an engine.
 *
 * The most urgent tier goes first. Within a tier, workspaces are served by deficit round robin over
 * estimated tokens (Shreedhar and Varghese, 1995).
 */

export enum QueuedKind {
  ATTEMPT = 'attempt',
  RESERVATION = 'reservation',
}

export type QueuedItem = {
  kind: QueuedKind;
  /** Reference key of an attempt, or request id of a reservation. */
  id: string;
  tierRank: number;
  workspace: string;
  /** Weight of the workspace relative to the others of the tier. */
  weight: number;
  estimatedTokens: number;
  deadlineMs: number;
};

type WorkspaceQueue = {
  /** Tokens that the workspace may still start in its turn. */
  deficit: number;
  /** Estimated tokens of the queued items. */
  tokens: number;
  /** In order of arrival. */
  items: Map<string, QueuedItem>;
};

type TierQueue = {
  tierRank: number;
  /** Number of queued items. */
  count: number;
  /** Estimated tokens of the queued items. */
  tokens: number;
  /** Workspaces with queued items in the order of their turns, the present one first. */
  workspaces: Map<string, WorkspaceQueue>;
  /** Items in order of arrival; may contain items that have left the queue. */
  arrivals: QueuedItem[];
};

export type StartQueue = {
  /** All queued items by kind and id. */
  items: Map<string, QueuedItem>;
  /** Tiers with queued items, the most urgent first. */
  tiers: TierQueue[];
  /** Lower bound of the deadlines of all queued items, milliseconds since the Unix epoch. */
  earliestDeadlineMs: number;
};

/** Tokens that a workspace gains per turn and unit of weight. */
const QUANTUM_TOKENS = 2048;

/** Upper bound of an estimate, so that the loop over the turns stays short. */
const MAX_ITEM_TOKENS = 1_048_576;

/** Higher tier ranks are treated as this one, which bounds the size of the counts by tier. */
const MAX_TIER_RANK = 63;

/** Number of stale arrivals that a tier tolerates before they are removed. */
const MIN_STALE_ARRIVALS = 64;

/** Creates an empty queue. */
export function createStartQueue(): StartQueue {
  return { items: new Map(), tiers: [], earliestDeadlineMs: Number.POSITIVE_INFINITY };
}

/** Builds the map key of an item; both kinds share one queue. */
function toItemKey(kind: QueuedKind, id: string): string {
  return `${kind}/${id}`;
}

/** Counts the queued items. */
export function countQueued(queue: StartQueue): number {
  return queue.items.size;
}

/** Counts the estimated tokens of the queued items. */
export function countTokens(queue: StartQueue): number {
  return queue.tiers.reduce((sum, tier) => sum + tier.tokens, 0);
}

/** Counts the queued items by tier rank, the most urgent first. */
export function countByTier(queue: StartQueue): number[] {
  const last = queue.tiers.at(-1);
  const counts = new Array<number>(last === undefined ? 0 : last.tierRank + 1).fill(0);
  queue.tiers.forEach((tier) => {
    counts[tier.tierRank] = tier.count;
  });
  return counts;
}

/** Finds a queued item. */
export function findItem(queue: StartQueue, kind: QueuedKind, id: string): QueuedItem | undefined {
  return queue.items.get(toItemKey(kind, id));
}

/** Lists the items whose deadline has passed; takes constant time while there are none. */
export function listOverdue(queue: StartQueue, now: number): QueuedItem[] {
  if (now < queue.earliestDeadlineMs) {
    return [];
  }
  const items = listItems(queue);
  const later = items.filter((item) => now < item.deadlineMs).map((item) => item.deadlineMs);
  queue.earliestDeadlineMs = Math.min(...later, Number.POSITIVE_INFINITY);
  return items.filter((item) => now >= item.deadlineMs);
}

/** Lists all queued items. */
export function listItems(queue: StartQueue): QueuedItem[] {
  return [...queue.items.values()];
}

/** Returns the queue of a tier; creates it if there is none. */
function getTier(queue: StartQueue, tierRank: number): TierQueue {
  const index = queue.tiers.findIndex((tier) => tier.tierRank >= tierRank);
  if (index !== -1 && queue.tiers[index].tierRank === tierRank) {
    return queue.tiers[index];
  }
  const tier = { tierRank, count: 0, tokens: 0, workspaces: new Map(), arrivals: [] };
  queue.tiers.splice(index === -1 ? queue.tiers.length : index, 0, tier);
  return tier;
}

/** Limits an estimate received over a link to valid values. */
function trimTokens(estimatedTokens: number): number {
  return estimatedTokens >= 1 ? Math.min(estimatedTokens, MAX_ITEM_TOKENS) : 1;
}

/** Adds an item; returns false if it is already queued. */
export function enqueue(queue: StartQueue, given: QueuedItem): boolean {
  const key = toItemKey(given.kind, given.id);
  if (queue.items.has(key)) {
    return false;
  }
  const item = {
    ...given,
    tierRank: Math.min(given.tierRank, MAX_TIER_RANK),
    estimatedTokens: trimTokens(given.estimatedTokens),
  };
  queue.items.set(key, item);
  queue.earliestDeadlineMs = Math.min(queue.earliestDeadlineMs, item.deadlineMs);
  const tier = getTier(queue, item.tierRank);
  tier.count += 1;
  tier.tokens += item.estimatedTokens;
  tier.arrivals.push(item);
  const workspace = tier.workspaces.get(item.workspace) ?? {
    deficit: 0,
    tokens: 0,
    items: new Map(),
  };
  workspace.tokens += item.estimatedTokens;
  workspace.items.set(key, item);
  tier.workspaces.set(item.workspace, workspace);
  return true;
}

/** Removes arrivals that have left the queue once they outnumber the queued items. */
function trimArrivals(queue: StartQueue, tier: TierQueue): void {
  if (tier.arrivals.length > 2 * tier.count + MIN_STALE_ARRIVALS) {
    tier.arrivals = tier.arrivals.filter(
      (item) => queue.items.get(toItemKey(item.kind, item.id)) === item,
    );
  }
}

/** Removes an item; returns undefined if it is not queued. */
export function removeItem(
  queue: StartQueue,
  kind: QueuedKind,
  id: string,
): QueuedItem | undefined {
  const key = toItemKey(kind, id);
  const item = queue.items.get(key);
  if (item === undefined) {
    return undefined;
  }
  queue.items.delete(key);
  const tier = getTier(queue, item.tierRank);
  tier.count -= 1;
  tier.tokens -= item.estimatedTokens;
  const workspace = tier.workspaces.get(item.workspace);
  if (workspace !== undefined) {
    workspace.items.delete(key);
    workspace.tokens -= item.estimatedTokens;
    if (workspace.items.size === 0) {
      tier.workspaces.delete(item.workspace);
    }
  }
  if (tier.count === 0) {
    queue.tiers.splice(queue.tiers.indexOf(tier), 1);
  }
  trimArrivals(queue, tier);
  return item;
}

/** Finds the next item of a tier; passes the turn on until a deficit covers the item. */
function findNextInTier(tier: TierQueue): QueuedItem | undefined {
  for (;;) {
    const [turn] = tier.workspaces;
    if (turn === undefined) {
      return undefined;
    }
    const [name, workspace] = turn;
    const [item] = workspace.items.values();
    if (workspace.deficit >= item.estimatedTokens) {
      return item;
    }
    workspace.deficit += QUANTUM_TOKENS * Math.max(item.weight, 1);
    tier.workspaces.delete(name);
    tier.workspaces.set(name, workspace);
  }
}

/** Finds the item to start next without removing it. */
export function findNext(queue: StartQueue): QueuedItem | undefined {
  return queue.tiers[0] && findNextInTier(queue.tiers[0]);
}

/** Removes an item that is started and charges its tokens to its workspace. */
export function takeItem(queue: StartQueue, item: QueuedItem): void {
  const workspace = getTier(queue, item.tierRank).workspaces.get(item.workspace);
  if (workspace !== undefined) {
    workspace.deficit -= item.estimatedTokens;
  }
  removeItem(queue, item.kind, item.id);
}

/** Finds the newest item of the least urgent tier, if that is less urgent than `tierRank`. */
export function findEvictionCandidate(queue: StartQueue, tierRank: number): QueuedItem | undefined {
  const tier = queue.tiers.at(-1);
  if (tier === undefined || tier.tierRank <= tierRank) {
    return undefined;
  }
  for (;;) {
    const newest = tier.arrivals.at(-1);
    if (newest === undefined || queue.items.get(toItemKey(newest.kind, newest.id)) === newest) {
      return newest;
    }
    tier.arrivals.pop();
  }
}

/** Estimates the tokens that are started before a new item of a workspace. */
export function estimateTokensAhead(
  queue: StartQueue,
  tierRank: number,
  workspaceName: string,
  estimatedTokens: number,
): number {
  const moreUrgent = queue.tiers
    .filter((tier) => tier.tierRank < tierRank)
    .reduce((sum, tier) => sum + tier.tokens, 0);
  const tier = queue.tiers.find((one) => one.tierRank === tierRank);
  if (tier === undefined) {
    return moreUrgent;
  }
  const ownTokens = (tier.workspaces.get(workspaceName)?.tokens ?? 0) + estimatedTokens;
  // Because workspaces take turns, a workspace with little queued work is delayed at most by its
  // own work times the number of workspaces, not by everything that the others have queued.
  return moreUrgent + Math.min(tier.tokens, ownTokens * tier.workspaces.size);
}
