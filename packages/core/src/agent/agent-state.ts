/** The state that one agent task owns. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as documentTiming from '../shared/document-timing.js';
import * as suspects from '../shared/suspects.js';
import type * as claims from './claims.js';
import * as engineLimit from './engine-limit.js';
import * as engineSpeed from './engine-speed.js';
import * as reservation from './reservation.js';
import * as runRetention from './run-retention.js';
import * as runRecord from './run-record.js';
import * as startQueue from '../shared/start-queue.js';

/** One entry at the other end of a link. */
export type EntryLink = {
  linkId: number;
  entryId: string;
  lastReceivedMs: number;
  lastSentMs: number;
  heartbeatsSent: number;
  /** Revision of the suspects last sent over this link. */
  suspectsRevision: number;
};

export type AgentState = {
  backendServerId: string;
  service: string;
  /** Id of this process incarnation; offers addressed to another one are refused. */
  life: string;
  lifeBeganMs: number;
  /** No caller was admitted before this wall-clock time, milliseconds; 0 where it is unknown. */
  firstTrafficMs: number;
  documents: documentStore.DocumentStore;
  runs: Map<string, runRecord.RunRecord>;
  /** Newer document versions that entries have announced and this agent lacks. */
  newerSeen: documentStore.NewerVersions;
  /** The idempotency keys whose home is this agent. */
  keys: claims.KeyTable;
  queue: startQueue.StartQueue;
  /** Queued reservations and held slots, by request id. */
  reservations: Map<string, reservation.Reservation>;
  holds: Map<string, reservation.Hold>;
  /** Estimated tokens of all held slots. */
  heldTokens: number;
  /** Reference keys of the attempts that run on the engine. */
  running: Set<string>;
  runningTokens: number;
  links: Map<number, EntryLink>;
  engineAvailable: boolean;
  speed: engineSpeed.EngineSpeed;
  limit: engineLimit.EngineLimit;
  suspects: suspects.Suspects;
  /** Reference key of the suspect that now runs alone; empty where none does. */
  exclusiveRefKey: string;
  /** Ended attempts whose records and responses are still kept. */
  retention: runRetention.RunRetention;
  /** Whether any of the three reasons below holds: the agent accepts no new work. */
  leaving: boolean;
  documentLeaving: boolean;
  vmLeaving: boolean;
  shutdownStarted: boolean;
  /** Since when a shutdown has only waited for acknowledgements; undefined while it has work. */
  idleSinceMs: number | undefined;
  stopped: boolean;
};

export type AgentIdentity = {
  backendServerId: string;
  service: string;
  life: string;
  firstTrafficMs?: number;
};

/** Creates the state of an agent whose process has just started. */
export function createAgentState(identity: AgentIdentity, now: number): AgentState {
  return {
    firstTrafficMs: 0,
    ...identity,
    lifeBeganMs: now,
    documents: new Map(),
    runs: new Map(),
    newerSeen: new Map(),
    keys: new Map(),
    queue: startQueue.createStartQueue(),
    reservations: new Map(),
    holds: new Map(),
    heldTokens: 0,
    running: new Set(),
    runningTokens: 0,
    links: new Map(),
    engineAvailable: true,
    speed: engineSpeed.createEngineSpeed(now),
    limit: engineLimit.createEngineLimit(),
    suspects: suspects.createSuspects(),
    exclusiveRefKey: '',
    retention: runRetention.createRunRetention(),
    leaving: false,
    documentLeaving: false,
    vmLeaving: false,
    shutdownStarted: false,
    idleSinceMs: undefined,
    stopped: false,
  };
}

/** Returns the active service document, if there is one yet. */
export function getDocument(state: AgentState): schema.ServiceDocument | undefined {
  return state.documents.get(state.service)?.document;
}

/** Returns the limits of the active document, or the default ones. */
export function getLimits(state: AgentState): documentTiming.Limits {
  return documentTiming.getLimits(getDocument(state));
}

/** Returns the timing of the active document, or the default one. */
export function getTiming(state: AgentState): documentTiming.Timing {
  return documentTiming.getTiming(getDocument(state));
}
