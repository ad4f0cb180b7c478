/**
 * A priority queue of ids, the lowest priority value first: a binary heap with lazy removal.
 * Adding, moving and removing an id takes amortized logarithmic time.
 */

type HeapItem = { id: string; priority: number };

export type PriorityHeap = {
  items: HeapItem[];
  /** Current priority of each id; heap items with another priority are stale. */
  priorities: Map<string, number>;
};

/** Number of stale items that are tolerated before the heap is rebuilt. */
const MIN_STALE_ITEMS = 64;

/** Creates an empty heap. */
export function createPriorityHeap(): PriorityHeap {
  return { items: [], priorities: new Map() };
}

/** Swaps two items. */
function swapItems(items: HeapItem[], a: number, b: number): void {
  const item = items[a];
  items[a] = items[b];
  items[b] = item;
}

/** Moves the last item up until the heap order is restored. */
function pushUp(items: HeapItem[]): void {
  let index = items.length - 1;
  while (index > 0) {
    const parent = Math.floor((index - 1) / 2);
    if (items[parent].priority <= items[index].priority) {
      return;
    }
    swapItems(items, parent, index);
    index = parent;
  }
}

/** Moves the first item down until the heap order is restored. */
function pushDown(items: HeapItem[]): void {
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    const right = left + 1;
    let least = index;
    if (left < items.length && items[left].priority < items[least].priority) {
      least = left;
    }
    if (right < items.length && items[right].priority < items[least].priority) {
      least = right;
    }
    if (least === index) {
      return;
    }
    swapItems(items, least, index);
    index = least;
  }
}

/** Removes the first item, stale or not. */
function dropFirst(items: HeapItem[]): void {
  const last = items.pop();
  if (last !== undefined && items.length > 0) {
    items[0] = last;
    pushDown(items);
  }
}

/** Rebuilds the heap without stale items once they outnumber the current ones. */
function trimStale(heap: PriorityHeap): void {
  if (heap.items.length > 2 * heap.priorities.size + MIN_STALE_ITEMS) {
    heap.items = [...heap.priorities].map(([id, priority]) => ({ id, priority }));
    heap.items.sort((a, b) => a.priority - b.priority);
  }
}

/** Adds an id, or changes the priority of one that is present. */
export function setPriority(heap: PriorityHeap, id: string, priority: number): void {
  if (heap.priorities.get(id) === priority) {
    return;
  }
  heap.priorities.set(id, priority);
  heap.items.push({ id, priority });
  pushUp(heap.items);
  trimStale(heap);
}

/** Removes an id. */
export function removeId(heap: PriorityHeap, id: string): void {
  heap.priorities.delete(id);
  trimStale(heap);
}

/** Removes and returns the ids whose priority is not above a bound, the lowest first. */
export function takeUpTo(heap: PriorityHeap, bound: number): string[] {
  const taken: string[] = [];
  while (heap.items.length > 0 && heap.items[0].priority <= bound) {
    const { id, priority } = heap.items[0];
    dropFirst(heap.items);
    if (heap.priorities.get(id) === priority) {
      heap.priorities.delete(id);
      taken.push(id);
    }
  }
  return taken;
}
