/**
 * What waits for a service, in the order in which it should be sent.
 *
 * First by rank, then by start-time fair queueing (Goyal, Vin and Cheng, 1996):
 * each workspace's work is numbered as if the service gave all of them equal
 * shares. A workspace that sends ten times as much waits behind itself.
 */

export type WaitItem = {
  serial: number;
  /** 0 goes first. */
  rank: number;
  workspace: string;
  workTokens: number;
  /** When it began to wait at this rank, milliseconds. */
  enteredMs: number;
  /** When something is to be decided about it by time alone, milliseconds. */
  dueMs: number;
};

type QueuedItem = WaitItem & { /** Start of its work in fair shares, tokens. */ startTag: number };

export type WaitQueue = {
  /** In the order of sending. */
  items: QueuedItem[];
  /** Start tag of the item that was sent last, by rank. */
  virtualStart: Map<number, number>;
  /** End of the last item of each workspace, by rank and workspace. */
  finishTags: Map<string, number>;
};

/** Workspaces remembered while none of their requests waits; bounds the memory. */
const MAX_FINISH_TAGS = 4096;

/** Creates an empty queue. */
export function createWaitQueue(): WaitQueue {
  return { items: [], virtualStart: new Map(), finishTags: new Map() };
}

/** Tells whether an item goes before another. */
function isBefore(a: QueuedItem, b: QueuedItem): boolean {
  return a.rank - b.rank < 0 || (a.rank === b.rank && a.startTag < b.startTag);
}

/** Finds the place of an item by halving. */
function findPlace(items: readonly QueuedItem[], item: QueuedItem): number {
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

/** Builds the key of a workspace's finish tag. */
function buildTagKey(rank: number, workspace: string): string {
  return `${rank} ${workspace}`;
}

/** Computes where the next work of a workspace begins in fair shares, tokens. */
export function computeStartTag(queue: WaitQueue, rank: number, workspace: string): number {
  const virtual = queue.virtualStart.get(rank) ?? 0;
  return Math.max(virtual, queue.finishTags.get(buildTagKey(rank, workspace)) ?? 0);
}

/** Adds an item. */
export function addItem(queue: WaitQueue, item: WaitItem): void {
  if (queue.finishTags.size > MAX_FINISH_TAGS) {
    queue.finishTags.clear();
  }
  const startTag = computeStartTag(queue, item.rank, item.workspace);
  queue.finishTags.set(buildTagKey(item.rank, item.workspace), startTag + item.workTokens);
  const queued = { ...item, startTag };
  queue.items.splice(findPlace(queue.items, queued), 0, queued);
}

/** Removes an item that is not waiting any more; undefined where there is none. */
export function removeItem(queue: WaitQueue, serial: number): WaitItem | undefined {
  const index = queue.items.findIndex((item) => item.serial === serial);
  return index === -1 ? undefined : queue.items.splice(index, 1)[0];
}

/** Removes an item that is sent: the others of its rank move up. */
export function takeItem(queue: WaitQueue, serial: number): WaitItem | undefined {
  const item = queue.items.find((one) => one.serial === serial);
  if (item !== undefined) {
    const before = queue.virtualStart.get(item.rank) ?? 0;
    queue.virtualStart.set(item.rank, Math.max(before, item.startTag));
  }
  return removeItem(queue, serial);
}

/** Lists the items for which something is due. */
export function listDue(queue: WaitQueue, now: number): WaitItem[] {
  return queue.items.filter((item) => now >= item.dueMs);
}

/** Counts the tokens that would be sent before new work of a workspace, by rank. */
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

/** Finds the item of a rank that would be sent first. */
export function findFirst(queue: WaitQueue, rank: number): WaitItem | undefined {
  return queue.items.find((item) => item.rank === rank);
}
