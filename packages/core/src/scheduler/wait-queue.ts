/**
 * A queue of waiting requests in the order in which they should be sent.
 *
 * Items are ordered by rank, then by start-time fair queueing (Goyal, Vin and Cheng, 1996): start
 * tags are assigned as if the service gave every workspace its share. A workspace that sends ten
 * times as much therefore delays mainly its own requests. What a workspace leaves of its share is
 * used by the others, and returns to it with its next request.
 */

export type WaitItem = {
  serial: number;
  /** Items of the lowest rank are sent first; 0 is the lowest. */
  rank: number;
  workspace: string;
  /** Share of the workspace within the rank, relative to that of others; undefined counts as 1. */
  share?: number;
  workTokens: number;
  /** When it was queued at this rank, milliseconds. */
  enteredMs: number;
  /** When the item must be checked again even if nothing else happens, milliseconds. */
  dueMs: number;
};

type QueuedItem = WaitItem & {
  /** Virtual time at which its work starts, tokens. */
  startTag: number;
};

/** What a workspace received outside the queue, in virtual time (tokens per share). */
export type ElsewhereUse = {
  /** In total. */
  received: number;
  /** Recently: the most by which it may delay the workspace. */
  recent: number;
  /** When `recent` was estimated, milliseconds. */
  updatedMs: number;
};

/** Virtual time at which the last item of a workspace ends. */
type FinishTag = {
  tag: number;
  /** `ElsewhereUse.received` when the item was added. */
  received: number;
};

export type WaitQueue = {
  /** In the order in which they are sent. */
  items: QueuedItem[];
  /** Virtual time by rank: the highest start tag of an item that was sent. */
  virtualTimes: Map<number, number>;
  /** By rank and workspace. */
  finishTags: Map<string, FinishTag>;
  /** By urgency and workspace, least recent first; contains only those with recent use. */
  elsewhere: Map<string, ElsewhereUse>;
  /** Finds the urgency of the requests of a rank. */
  findUrgency: (rank: number) => number;
  /** Number of finish tags above which those of workspaces that do not wait are discarded. */
  tagLimit: number;
};

/** Lowest value of `tagLimit`; bounds the memory. */
const MIN_TAG_LIMIT = 4096;

/** Creates an empty queue; by default, each rank contains the requests of one urgency. */
export function createWaitQueue(findUrgency: (rank: number) => number = (rank) => rank): WaitQueue {
  return {
    items: [],
    virtualTimes: new Map(),
    finishTags: new Map(),
    elsewhere: new Map(),
    findUrgency,
    tagLimit: MIN_TAG_LIMIT,
  };
}

/** Reports whether an item is sent before another. */
function isBefore(a: QueuedItem, b: QueuedItem): boolean {
  return a.rank - b.rank < 0 || (a.rank === b.rank && a.startTag < b.startTag);
}

/** Finds the index at which to insert an item, by binary search. */
function findInsertionIndex(items: readonly QueuedItem[], item: QueuedItem): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isBefore(item, items[middle])) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

/** Builds the map key of a workspace at a rank or urgency. */
export function buildKey(rank: number, workspace: string): string {
  return `${rank} ${workspace}`;
}

/** Finds what the workspace of a rank received outside the queue. */
function findElsewhere(
  queue: WaitQueue,
  rank: number,
  workspace: string,
): ElsewhereUse | undefined {
  return queue.elsewhere.get(buildKey(queue.findUrgency(rank), workspace));
}

/**
 * Computes the start tag of the next item of a workspace, tokens.
 *
 * What the workspace received elsewhere since its last item delays the next one as if this queue
 * had sent it (Wang and Merchant, 2007), but not beyond its recent use, so that a workspace does
 * not wait for work that it received long ago.
 */
export function computeStartTag(queue: WaitQueue, rank: number, workspace: string): number {
  const virtual = queue.virtualTimes.get(rank) ?? 0;
  const last = queue.finishTags.get(buildKey(rank, workspace)) ?? { tag: 0, received: 0 };
  const elsewhere = findElsewhere(queue, rank, workspace);
  if (elsewhere === undefined) {
    return Math.max(virtual, last.tag);
  }
  const delayed = last.tag + Math.max(elsewhere.received - last.received, 0);
  return Math.max(virtual, last.tag, Math.min(delayed, virtual + elsewhere.recent));
}

/**
 * Discards the finish tags of workspaces that do not wait at the rank. Without its tag, the next
 * request of a waiting workspace would go before its earlier ones.
 *
 * The limit is at least twice the number of remaining tags, so that the effort for each item is
 * bounded.
 */
function dropIdleTags(queue: WaitQueue): void {
  const waiting = new Set(queue.items.map(({ rank, workspace }) => buildKey(rank, workspace)));
  queue.finishTags.forEach((_, key) => {
    if (!waiting.has(key)) {
      queue.finishTags.delete(key);
    }
  });
  queue.tagLimit = Math.max(MIN_TAG_LIMIT, 2 * queue.finishTags.size);
}

/** Adds an item and assigns its start tag. */
export function addItem(queue: WaitQueue, item: WaitItem): void {
  if (queue.finishTags.size > queue.tagLimit) {
    dropIdleTags(queue);
  }
  const startTag = computeStartTag(queue, item.rank, item.workspace);
  const tag = startTag + item.workTokens / (item.share ?? 1);
  const received = findElsewhere(queue, item.rank, item.workspace)?.received ?? 0;
  queue.finishTags.set(buildKey(item.rank, item.workspace), { tag, received });
  const queued = { ...item, startTag };
  queue.items.splice(findInsertionIndex(queue.items, queued), 0, queued);
}

/** Removes an item without sending it; returns undefined if it is not queued. */
export function removeItem(queue: WaitQueue, serial: number): WaitItem | undefined {
  const index = queue.items.findIndex((item) => item.serial === serial);
  return index === -1 ? undefined : queue.items.splice(index, 1)[0];
}

/** Removes an item that is sent and advances the virtual time of its rank. */
export function takeItem(queue: WaitQueue, serial: number): WaitItem | undefined {
  const item = queue.items.find((one) => one.serial === serial);
  if (item !== undefined) {
    const before = queue.virtualTimes.get(item.rank) ?? 0;
    queue.virtualTimes.set(item.rank, Math.max(before, item.startTag));
  }
  return removeItem(queue, serial);
}

/** Lists the items whose due time has come. */
export function listDue(queue: WaitQueue, now: number): WaitItem[] {
  return queue.items.filter((item) => now >= item.dueMs);
}

/** Counts the tokens by rank that would be sent before a new item of a workspace. */
export function countTokensBefore(
  queue: WaitQueue,
  rank: number,
  workspace: string,
): Map<number, number> {
  const startTag = computeStartTag(queue, rank, workspace);
  const sums = new Map<number, number>();
  queue.items
    .filter((item) => item.rank < rank || (item.rank === rank && item.startTag <= startTag))
    .forEach((item) => sums.set(item.rank, (sums.get(item.rank) ?? 0) + item.workTokens));
  return sums;
}

/** Finds the first item of a rank. */
export function findFirst(queue: WaitQueue, rank: number): WaitItem | undefined {
  return queue.items.find((item) => item.rank === rank);
}
