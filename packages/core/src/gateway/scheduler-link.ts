/** What a gateway has told the scheduler of a cell, and what it has to tell it. */
import * as schema from '@toucanproxy/schema';

/** A request that waits for a place of the cell, and when it was asked for last. */
export type PlaceAsk = { askedMs: number; isAccepted: boolean };

export type SchedulerLink = {
  cell: string;
  service: string;
  /** Address of the gateway that schedules the cell, and its life as it last told. */
  address: string;
  life: string;
  sequence: number;
  /** The highest sequence that was answered. */
  echo: number;
  /** When each ask was sent, by its sequence, milliseconds; the recent ones. */
  sentMs: Map<number, number>;
  lastSentMs: number;
  /** When the first ask that was not answered yet was sent, milliseconds. */
  unansweredMs: number | undefined;
  /** Requests that wait, by serial. */
  asks: Map<number, PlaceAsk>;
  withdrawn: number[];
  observations: schema.ServerObservation[];
  lastGrant: number;
  /** Statements of backend servers that were sent so far; all of them are sent in turn. */
  statementsSent: number;
  /** There is something to tell at once. */
  isDirty: boolean;
  /** Places of the cell, and requests at them or before them, as last told. */
  places: number;
  load: number;
};

/** Asks whose time is remembered. */
const MAX_SENT = 64;

/** Creates a link over which nothing was told. */
export function createLink(cell: string, service: string, address: string): SchedulerLink {
  return {
    cell,
    service,
    address,
    life: '',
    sequence: 0,
    echo: 0,
    sentMs: new Map(),
    lastSentMs: -Infinity,
    unansweredMs: undefined,
    asks: new Map(),
    withdrawn: [],
    observations: [],
    lastGrant: 0,
    statementsSent: 0,
    isDirty: false,
    places: 0,
    load: 0,
  };
}

/** Forgets what was accepted: another scheduler knows nothing of it. */
function clearAccepted(link: SchedulerLink): void {
  link.lastGrant = 0;
  link.asks.forEach((ask) => {
    ask.isAccepted = false;
    ask.askedMs = -Infinity;
  });
  link.isDirty = true;
}

/** Turns to another scheduler. */
export function setScheduler(link: SchedulerLink, address: string): void {
  link.address = address;
  link.life = '';
  link.sentMs.clear();
  link.unansweredMs = undefined;
  clearAccepted(link);
}

/** Notes an answer; a scheduler that has restarted has forgotten what it was told. */
export function noteReply(link: SchedulerLink, life: string, echo: number): void {
  if (link.life !== '' && link.life !== life) {
    clearAccepted(link);
  }
  link.life = life;
  if (echo >= link.echo) {
    link.echo = echo;
    link.unansweredMs = link.sentMs.get(echo + 1);
  }
}

/** Notes that an ask is sent. */
export function noteSent(link: SchedulerLink, now: number): void {
  link.sequence += 1;
  link.sentMs.set(link.sequence, now);
  link.sentMs.delete(link.sequence - MAX_SENT);
  link.lastSentMs = now;
  link.unansweredMs ??= now;
  link.isDirty = false;
}
