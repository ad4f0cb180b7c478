/** The state that one agent task owns. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as documentTiming from '../shared/document-timing.js';
import * as suspects from '../shared/suspects.js';
import type * as claims from './claims.js';
import * as engineLimit from './engine-limit.js';
import * as engineSpeed from './engine-speed.js';
import * as reservation from './reservation.js';
import * as runMemory from './run-memory.js';
import * as runRecord from './run-record.js';
import * as startQueue from '../shared/start-queue.js';

/** One entry at the other end of a link. */
export type EntryLink = {
  linkId: number;
  entryId: string;
  lastHeardMs: number;
  lastSentMs: number;
  heartbeatsSent: number;
  /** Revision of the suspects last sent over this link. */
  suspectsRevision: number;
};

export type AgentState = {
  backendServerId: string;
  service: string;
  /** Incarnation; offers meant for another life are refused. */
  life: string;
  lifeBeganMs: number;
  /** No caller was let in before this time, milliseconds; 0 where nobody knows. */
  firstTrafficMs: number;
  documents: documentStore.DocumentStore;
  runs: Map<string, runRecord.RunRecord>;
  newerSeen: documentStore.NewerVersions;
  /** The keys that this agent is home of. */
  keys: claims.KeyTable;
  queue: startQueue.StartQueue;
  /** Reservations queued and places held, by request id. */
  reservations: Map<string, reservation.Reservation>;
  holds: Map<string, reservation.Hold>;
  heldTokens: number;
  running: Set<string>;
  runningTokens: number;
  links: Map<number, EntryLink>;
  engineAvailable: boolean;
  speed: engineSpeed.EngineSpeed;
  limit: engineLimit.EngineLimit;
  suspects: suspects.Suspects;
  /** The suspect that runs alone at present; empty where none does. */
  soloRefKey: string;
  /** What ended attempts take in memory. */
  memory: runMemory.RunMemory;
  /** Any of the three reasons below holds. */
  leaving: boolean;
  documentLeaving: boolean;
  vmLeaving: boolean;
  shutdownStarted: boolean;
  /** Since when a shutdown has waited for acknowledgements alone. */
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
    soloRefKey: '',
    memory: runMemory.createRunMemory(),
    leaving: false,
    documentLeaving: false,
    vmLeaving: false,
    shutdownStarted: false,
    idleSinceMs: undefined,
    stopped: false,
  };
}

/** Gets the service document in force, if there is one yet. */
export function getDocument(state: AgentState): schema.ServiceDocument | undefined {
  return state.documents.get(state.service)?.document;
}

/** Gets the limits in force. */
export function getLimits(state: AgentState): documentTiming.Limits {
  return documentTiming.getLimits(getDocument(state));
}

/** Gets the timing in force. */
export function getTiming(state: AgentState): documentTiming.Timing {
  return documentTiming.getTiming(getDocument(state));
}
