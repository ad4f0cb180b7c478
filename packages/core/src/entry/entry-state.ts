/** The state that one entry task owns. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as documentTiming from '../shared/document-timing.js';
import * as priorityHeap from '../shared/priority-heap.js';
import * as suspects from '../shared/suspects.js';
import * as agentHealth from './agent-health.js';
import * as entryEvent from './entry-event.js';
import * as entryPolicy from './entry-policy.js';
import type * as keyClaim from './key-claim.js';
import * as linkSelection from './link-selection.js';
import type * as outcomes from './outcomes.js';
import * as serviceState from './service-state.js';

/** The one agent that an attempt was handed to. */
export type Target = {
  backendServerId: string;
  agentLife: string;
  ref: schema.AttemptRef;
  /** Issue time of the attempt, milliseconds. */
  issuedMs: number;
  /** Another call with the same key started this attempt; this one reads its answer. */
  joined: boolean;
  /** Sequence number of the answer part that comes next. */
  nextSequence: number;
  /** The agent said that it started the attempt. */
  started: boolean;
  /** When the entry asked for a confirmation that it did not run; 0 if never. */
  withdrawnMs: number;
};

export enum RequestStatus {
  /** No agent holds it. */
  WAITING = 'waiting',
  /** One agent holds it, and only that agent says what became of it. */
  OFFERED = 'offered',
  /** Its key is being claimed for an attempt that is not offered yet. */
  CLAIMING = 'claiming',
  /** Given up; its key is being closed so that its caller can be told. */
  CLOSING = 'closing',
}

export type EntryRequest = {
  requestId: string;
  arrived: entryEvent.ArrivedRequest;
  workspace: string;
  weight: number;
  tierRank: number;
  tierName: string;
  repeatable: boolean;
  arrivedMs: number;
  deadlineMs: number;
  status: RequestStatus;
  attempts: number;
  target: Target | undefined;
  /** The claim in progress for its key. */
  claim: keyClaim.KeyClaim | undefined;
  /** Attempts of its key that were confirmed as not run, or may be repeated. */
  replaceable: schema.AttemptRef[];
  /** Why it was given up, while its key is being closed. */
  pendingFailure: outcomes.Failure | undefined;
  claimRounds: number;
  /** Its homes could not decide; it may be repeated and goes on without. */
  claimSkipped: boolean;
  /** Backend servers that refused the request since it began to wait. */
  refusedBy: Set<string>;
  head: schema.AnswerHead | undefined;
  /** Parts of an answer that is not streamed, until it is whole. */
  bufferedParts: Uint8Array[];
  firstByteSent: boolean;
  /** Class of its cost: route and tier. */
  className: string;
  /** Backend servers that were asked for a place and have not refused. */
  reservedAt: Set<string>;
  /** When one more backend server is asked, milliseconds since the Unix epoch. */
  nextAskAtMs: number;
  /** Pause before a repeat ends at this time; 0 where there is none. */
  retryAtMs: number;
  /** What is known of the attempts before the present one. */
  earlierRunState: schema.RunState;
  /** Backend servers that cannot end it in time, as they said since it began to wait. */
  deadlineRefusedBy: Set<string>;
  /** Attempts that were repeated after a run. */
  retries: number;
  /** Attempts during which an engine crashed. */
  crashes: number;
  /** When the present attempt started; 0 where that is not known. */
  startedMs: number;
  /** Tokens of the answer so far, counted. */
  answerTokens: number;
};

/** A backend server as this entry sees it. */
export type AgentView = {
  backendServerId: string;
  service: string;
  address: string;
  failureDomain: string;
  /** An open link over which the agent has said which life it is. */
  linked: boolean;
  opening: boolean;
  agentLife: string;
  lifeBeganMs: number;
  /** Takes no new work, for one of the three reasons that follow. */
  leaving: boolean;
  /** The document in force says so. */
  documentLeaving: boolean;
  /** This life of the agent has said so. */
  reportedLeaving: boolean;
  /** The platform's list says so; it lags, and does not know of a later life. */
  listedLeaving: boolean;
  /** The life that the list was first seen to name; undefined while it names none. */
  listedLife: string | undefined;
  lastReceivedMs: number;
  lastSentMs: number;
  heartbeatsSent: number;
  load: schema.AgentLoad | undefined;
  /** Estimated tokens of this entry's own requests there. */
  outstandingTokens: number;
  nextOpenMs: number;
  /** Requests whose target it is. */
  heldIds: Set<string>;
  /** Requests that asked it for a place. */
  reservedIds: Set<string>;
  health: agentHealth.AgentHealth;
  /** Revision of the suspects that it was last sent. */
  suspectsSent: number;
  /** One of the links that this entry keeps; others are opened on demand. */
  kept: boolean;
  /** When a link on demand was last needed, milliseconds; 0 if never. */
  lastNeededMs: number;
};

/** What is left to do for a request once the present event has been applied. */
export type FollowUp = { kind: 'place' | 'ask' | 'close'; requestId: string };

export type EntryState = {
  entryId: string;
  life: string;
  failureDomain: string;
  /** Links kept for each service. */
  linksPerService: number;
  policy: entryPolicy.EntryPolicy;
  nextSerial: number;
  documents: documentStore.DocumentStore;
  requests: Map<string, EntryRequest>;
  requestByCaller: Map<number, string>;
  /** Requests whose keys are being claimed or closed. */
  claiming: Set<string>;
  followUps: FollowUp[];
  /** Requests that read the answer of another call's attempt, by its reference. */
  joins: Map<string, Set<string>>;
  /** The newest version that a peer has shown, by service. */
  newerVersions: documentStore.NewerVersions;
  /** When this process first saw a backend server declared gone, milliseconds. */
  goneSeenMs: Map<string, number>;
  agents: Map<string, AgentView>;
  services: Map<string, serviceState.ServiceState>;
  /** When something is due for each request, milliseconds since the Unix epoch. */
  due: priorityHeap.PriorityHeap;
  suspects: suspects.Suspects;
  shutdownStarted: boolean;
  stopped: boolean;
};

export type EntryIdentity = {
  entryId: string;
  life: string;
  failureDomain: string;
  /** Links kept for each service; the default where left out. */
  linksPerService?: number;
};

/** Creates the state of an entry whose process has just started. */
export function createEntryState(
  identity: EntryIdentity,
  policy: entryPolicy.EntryPolicy,
): EntryState {
  return {
    ...identity,
    linksPerService: identity.linksPerService || linkSelection.DEFAULT_LINKS_PER_SERVICE,
    policy,
    nextSerial: 1,
    documents: new Map(),
    requests: new Map(),
    requestByCaller: new Map(),
    claiming: new Set(),
    followUps: [],
    joins: new Map(),
    newerVersions: new Map(),
    goneSeenMs: new Map(),
    agents: new Map(),
    services: new Map(),
    due: priorityHeap.createPriorityHeap(),
    suspects: suspects.createSuspects(),
    shutdownStarted: false,
    stopped: false,
  };
}

/** Gets the document of a service, if one is in force. */
export function getDocument(
  state: EntryState,
  service: string,
): schema.ServiceDocument | undefined {
  return state.documents.get(service)?.document;
}

/** Gets the state of a service, made where there is none. */
export function getService(state: EntryState, service: string): serviceState.ServiceState {
  const known = state.services.get(service) ?? serviceState.createServiceState(service);
  state.services.set(service, known);
  return known;
}

/**
 * Tells whether an entry knows of a newer document that it is about to get.
 *
 * A process that has just started may have been given a stale document by the
 * configuration service. It places nothing by it while a peer is sending the
 * newer one; bounded, since the newer one may be faulty for this process.
 */
export function isDocumentOutdated(state: EntryState, service: string, now: number): boolean {
  const newer = state.newerVersions.get(service);
  const version = documentStore.getVersion(state.documents, service);
  const waits = newer !== undefined && newer.version > version;
  return waits && now - newer.firstSeenMs <= documentStore.DOCUMENT_REPLY_TIMEOUT_MS;
}

/** Gets the timing of a service. */
export function getTiming(state: EntryState, service: string): documentTiming.Timing {
  return state.services.get(service)?.index?.timing ?? documentTiming.DEFAULT_TIMING;
}

/** Gets the limits of a service. */
export function getLimits(state: EntryState, service: string): documentTiming.Limits {
  return state.services.get(service)?.index?.limits ?? documentTiming.DEFAULT_LIMITS;
}
