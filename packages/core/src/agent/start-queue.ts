/** Attempts that wait for a place on the engine, the most urgent tier first. */

export type QueuedAttempt = {
  refKey: string;
  tierRank: number;
  workspace: string;
  estimatedTokens: number;
  queuedMs: number;
};

export type StartQueue = {
  items: QueuedAttempt[];
};

/** Creates an empty queue. */
export function createStartQueue(): StartQueue {
  return { items: [] };
}

/** Adds an attempt behind those of its tier and of more urgent tiers. */
export function enqueue(queue: StartQueue, item: QueuedAttempt): void {
  const index = queue.items.findIndex((other) => other.tierRank > item.tierRank);
  queue.items.splice(index === -1 ? queue.items.length : index, 0, item);
}

/** Takes the attempt to start next. */
export function takeNext(queue: StartQueue): QueuedAttempt | undefined {
  return queue.items.shift();
}

/** Takes out the newest attempt of the least urgent tier below `tierRank`. */
export function takeLessUrgent(queue: StartQueue, tierRank: number): QueuedAttempt | undefined {
  const last = queue.items.at(-1);
  if (last === undefined || last.tierRank <= tierRank) {
    return undefined;
  }
  return queue.items.pop();
}

/** Removes an attempt; true where it was queued. */
export function removeAttempt(queue: StartQueue, refKey: string): boolean {
  const index = queue.items.findIndex((item) => item.refKey === refKey);
  if (index === -1) {
    return false;
  }
  queue.items.splice(index, 1);
  return true;
}
