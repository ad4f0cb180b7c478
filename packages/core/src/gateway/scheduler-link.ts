/**
 * State of a gateway's exchange with the scheduler of a cell.
 *
 * The gateway asks the scheduler for places, which are slots at backend servers: a place allows
 * one request to be sent. The scheduler sends back a reply to each ask (`ScheduleAsk`).
 */
import * as schema from '@toucanproxy/schema';

/** When a slot was last asked for, and whether the scheduler has accepted the request. */
export type PlaceAsk = { askedMs: number; isAccepted: boolean };

export type SchedulerLink = {
  cell: string;
  service: string;
  /** Address of the gateway that schedules the cell, and its incarnation as of its last reply. */
  address: string;
  life: string;
  sequence: number;
  /** Highest sequence number that got a reply. */
  lastAnsweredSequence: number;
  /** When each recent ask was sent, by its sequence number, in milliseconds. */
  sentMs: Map<number, number>;
  lastSentMs: number;
  /** When the first ask without a reply was sent, in milliseconds. */
  unansweredMs: number | undefined;
  /** Waiting requests by serial number. */
  asks: Map<number, PlaceAsk>;
  withdrawn: number[];
  observations: schema.ServerObservation[];
  lastGrant: number;
  /** Number of backend server statements sent so far; all of them are sent in rotation. */
  statementsSent: number;
  /** When the recent use by workspaces was last reported, in milliseconds. */
  useReportedMs: number;
  /** An ask must be sent without delay. */
  isDirty: boolean;
  /** Moving average of the time from an ask to its reply, milliseconds; 0 before the first one. */
  replyMs: number;
  /** Slots of the cell, and requests running or queued there, according to the last reply. */
  places: number;
  load: number;
};

/** Number of recent asks whose sending time is kept. */
const MAX_SENT_TIMES = 64;
/** Weight of a new sample in the average reply time. */
const REPLY_SAMPLE_WEIGHT = 0.1;

/** Creates a link over which nothing has been sent. */
export function createLink(cell: string, service: string, address: string): SchedulerLink {
  return {
    cell,
    service,
    address,
    life: '',
    sequence: 0,
    lastAnsweredSequence: 0,
    sentMs: new Map(),
    lastSentMs: -Infinity,
    unansweredMs: undefined,
    asks: new Map(),
    withdrawn: [],
    observations: [],
    lastGrant: 0,
    statementsSent: 0,
    useReportedMs: -Infinity,
    isDirty: false,
    replyMs: 0,
    places: 0,
    load: 0,
  };
}

/** Marks all asks as not accepted, because a new scheduler does not know them. */
function clearAcceptance(link: SchedulerLink): void {
  link.lastGrant = 0;
  link.useReportedMs = -Infinity;
  link.asks.forEach((ask) => {
    ask.isAccepted = false;
    ask.askedMs = -Infinity;
  });
  link.isDirty = true;
}

/** Switches to another scheduler. */
export function setScheduler(link: SchedulerLink, address: string): void {
  link.address = address;
  link.life = '';
  link.replyMs = 0;
  link.sentMs.clear();
  link.unansweredMs = undefined;
  clearAcceptance(link);
}

/**
 * Records a reply. A scheduler that has restarted has lost its state and does not know the asks.
 *
 * @param echo sequence number of the ask that the reply belongs to
 */
export function noteReply(link: SchedulerLink, life: string, echo: number): void {
  if (link.life !== '' && link.life !== life) {
    clearAcceptance(link);
  }
  link.life = life;
  if (echo >= link.lastAnsweredSequence) {
    link.lastAnsweredSequence = echo;
    link.unansweredMs = link.sentMs.get(echo + 1);
  }
}

/** Records the time from an ask to its reply, milliseconds. */
export function noteReplyTime(link: SchedulerLink, ms: number): void {
  const weight = link.replyMs === 0 ? 1 : REPLY_SAMPLE_WEIGHT;
  link.replyMs += weight * (ms - link.replyMs);
}

/** Records that an ask has been sent. */
export function noteSent(link: SchedulerLink, now: number): void {
  link.sequence += 1;
  link.sentMs.set(link.sequence, now);
  link.sentMs.delete(link.sequence - MAX_SENT_TIMES);
  link.lastSentMs = now;
  link.unansweredMs ??= now;
  link.isDirty = false;
}
