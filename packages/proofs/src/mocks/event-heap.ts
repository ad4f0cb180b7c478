/** A binary heap of the events of a virtual clock, ordered by time and then by serial number. */

export type TimedEvent = { atMs: number; serial: number; action: () => void };

export type EventHeap = { events: TimedEvent[]; nextSerial: number };

/** Creates an empty heap. */
export function createEventHeap(): EventHeap {
  return { events: [], nextSerial: 0 };
}

/** Whether one event comes before another. */
function isBefore(one: TimedEvent, other: TimedEvent): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.serial < other.serial);
}

/** Adds an event. */
export function pushEvent(heap: EventHeap, atMs: number, action: () => void): void {
  const { events } = heap;
  events.push({ atMs, serial: heap.nextSerial, action });
  heap.nextSerial += 1;
  let index = events.length - 1;
  while (index > 0) {
    const parent = Math.floor((index - 1) / 2);
    if (!isBefore(events[index], events[parent])) {
      return;
    }
    [events[index], events[parent]] = [events[parent], events[index]];
    index = parent;
  }
}

/** Returns the index of the child that comes first. */
function findFirstChild(events: TimedEvent[], index: number): number {
  const left = 2 * index + 1;
  const right = left + 1;
  return right < events.length && isBefore(events[right], events[left]) ? right : left;
}

/** Removes and returns the first event. */
export function takeEvent(heap: EventHeap): TimedEvent | undefined {
  const { events } = heap;
  const first = events[0];
  const last = events.pop();
  if (last === undefined || events.length === 0) {
    return last;
  }
  events[0] = last;
  let index = 0;
  while (2 * index + 1 < events.length) {
    const child = findFirstChild(events, index);
    if (!isBefore(events[child], events[index])) {
      break;
    }
    [events[index], events[child]] = [events[child], events[index]];
    index = child;
  }
  return first;
}
