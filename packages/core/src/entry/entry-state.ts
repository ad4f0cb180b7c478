/** The state of one entry. Only the entry's task changes it. */
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

/** The agent that currently holds a request, and the attempt there. */
export type Target = {
  backendServerId: string;
  agentLife: string;
  ref: schema.AttemptRef;
  /**
   * When the request of the attempt arrived at its entry, milliseconds since the
   * Unix epoch. Agents refuse offers that are older than the key window.
   */
  issuedMs: number;
  /**
   * The attempt was started by another call with the same key; this call only reads
   * its response.
   */
  joined: boolean;
  /** Sequence number of the response part that is expected next. */
  nextSequence: number;
  /** The agent has reported that it started the attempt. */
  started: boolean;
  /**
   * When the entry asked the agent to withdraw the attempt, milliseconds since the
   * Unix epoch; 0 if never.
   */
  withdrawnMs: number;
};

export enum RequestStatus {
  /** No agent holds the request. */
  WAITING = 'waiting',
  /**
   * One agent holds the request. Only a report of that agent decides what became of
   * the attempt.
   */
  OFFERED = 'offered',
  /** The request's key is being claimed for an attempt that has not been offered yet. */
  CLAIMING = 'claiming',
  /** The request has failed. Its key is being closed before its caller gets the failure. */
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
  /** The deadline is that of the process, not the caller's. */
  endsAtShutdown: boolean;
  status: RequestStatus;
  attempts: number;
  target: Target | undefined;
  /** The claim of the request's key that is in progress. */
  claim: keyClaim.KeyClaim | undefined;
  /**
   * Attempts of the request's key that were confirmed as not run, or that the route
   * allows to be repeated. A home may replace their binding.
   */
  replaceable: schema.AttemptRef[];
  /** The failure that is reported once the key has been closed. */
  pendingFailure: outcomes.Failure | undefined;
  claimRounds: number;
  /**
   * The homes of the key could not decide. The route allows repeats, so the request
   * continues without a claim.
   */
  claimSkipped: boolean;
  /** Backend servers that have refused the request since it began to wait. */
  refusedBy: Set<string>;
  head: schema.AnswerHead | undefined;
  /** Parts of a response that is not streamed, buffered until it is complete. */
  bufferedParts: Uint8Array[];
  firstByteSent: boolean;
  /** Cost class: route and tier. */
  className: string;
  /** Backend servers that were asked for a slot and have not refused it. */
  reservedAt: Set<string>;
  /** When one more backend server is asked for a slot, milliseconds since the Unix epoch. */
  nextAskAtMs: number;
  /**
   * When the backoff before a retry ends, milliseconds since the Unix epoch; 0 if
   * there is none.
   */
  retryAtMs: number;
  /** Combined run state of the attempts before the current one. */
  earlierRunState: schema.RunState;
  /**
   * Backend servers that have reported, since the request began to wait, that they
   * cannot complete it before its deadline.
   */
  deadlineRefusedBy: Set<string>;
  /** Retries after an attempt that had, or may have, run. */
  retries: number;
  /** Attempts during which the engine crashed. */
  crashes: number;
  /** When the current attempt started, milliseconds since the Unix epoch; 0 if unknown. */
  startedMs: number;
  /** Response tokens received so far. */
  answerTokens: number;
};

/** What the entry knows of one backend server and its agent. */
export type AgentView = {
  backendServerId: string;
  service: string;
  address: string;
  failureDomain: string;
  /** The link is open and the agent has sent its hello. */
  linked: boolean;
  opening: boolean;
  /** Identifier of the agent's last known incarnation; empty before its first hello. */
  agentLife: string;
  lifeBeganMs: number;
  /** The agent gets no new work, for at least one of the three reasons below. */
  leaving: boolean;
  /** The active document marks the backend server as leaving or no longer names it. */
  documentLeaving: boolean;
  /** The current incarnation of the agent has reported that it is leaving. */
  reportedLeaving: boolean;
  /**
   * The platform's VM list marks the backend server as leaving. The list lags
   * behind and does not know of a later incarnation.
   */
  listedLeaving: boolean;
  /**
   * The agent's incarnation at the time when the list first named the VM; undefined
   * while the list does not name it.
   */
  listedLife: string | undefined;
  lastReceivedMs: number;
  lastSentMs: number;
  heartbeatsSent: number;
  load: schema.AgentLoad | undefined;
  /** Estimated tokens of this entry's own requests at the backend server. */
  outstandingTokens: number;
  nextOpenMs: number;
  /** Requests that the agent holds. */
  heldIds: Set<string>;
  /** Requests for which the agent was asked for a slot. */
  reservedIds: Set<string>;
  health: agentHealth.AgentHealth;
  /** Revision of the suspect list that was last sent to the agent. */
  suspectsSent: number;
  /** Link selection chose this link. Other links are opened on demand. */
  kept: boolean;
  /** When a link on demand was last needed, milliseconds since the Unix epoch; 0 if never. */
  lastNeededMs: number;
};

/** An action for one request that is deferred until the current event has been applied. */
export type FollowUp = { kind: 'place' | 'ask' | 'close'; requestId: string };

export type EntryState = {
  entryId: string;
  life: string;
  failureDomain: string;
  /** Number of links that are kept for each service. */
  linksPerService: number;
  policy: entryPolicy.EntryPolicy;
  nextSerial: number;
  documents: documentStore.DocumentStore;
  requests: Map<string, EntryRequest>;
  requestByCaller: Map<number, string>;
  /** Requests whose keys are being claimed or closed. */
  claiming: Set<string>;
  followUps: FollowUp[];
  /** Requests that read the response of another call's attempt, by attempt reference. */
  joins: Map<string, Set<string>>;
  /** The newest document version that a peer has reported, by service. */
  newerVersions: documentStore.NewerVersions;
  /**
   * When this process first saw a backend server declared gone, milliseconds since
   * the Unix epoch.
   */
  goneSeenMs: Map<string, number>;
  agents: Map<string, AgentView>;
  services: Map<string, serviceState.ServiceState>;
  /** When the next action is due for each request, milliseconds since the Unix epoch. */
  due: priorityHeap.PriorityHeap;
  suspects: suspects.Suspects;
  shutdownStarted: boolean;
  stopped: boolean;
};

export type EntryIdentity = {
  entryId: string;
  /** Identifier of this incarnation of the entry, that is, of its process. */
  life: string;
  failureDomain: string;
  /** Number of links that are kept for each service; a default applies where it is absent or 0. */
  linksPerService?: number;
};

/** Creates the state of an entry process that has just started. */
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

/** Returns the active document of a service, if there is one. */
export function getDocument(
  state: EntryState,
  service: string,
): schema.ServiceDocument | undefined {
  return state.documents.get(service)?.document;
}

/** Returns the state of a service, which is created at first use. */
export function getService(state: EntryState, service: string): serviceState.ServiceState {
  const known = state.services.get(service) ?? serviceState.createServiceState(service);
  state.services.set(service, known);
  return known;
}

/**
 * Whether the entry knows of a newer document that it is about to receive.
 *
 * The configuration service may have given a process that has just started a
 * stale document. The process must not place requests by it while a peer is
 * sending the newer one. The wait is bounded, because this process may find the
 * newer document faulty.
 */
export function isDocumentOutdated(state: EntryState, service: string, now: number): boolean {
  const newer = state.newerVersions.get(service);
  const version = documentStore.getVersion(state.documents, service);
  const waits = newer !== undefined && newer.version > version;
  return waits && now - newer.firstSeenMs <= documentStore.DOCUMENT_REPLY_TIMEOUT_MS;
}

/** Returns the timing of a service. */
export function getTiming(state: EntryState, service: string): documentTiming.Timing {
  return state.services.get(service)?.index?.timing ?? documentTiming.DEFAULT_TIMING;
}

/** Returns the limits of a service. */
export function getLimits(state: EntryState, service: string): documentTiming.Limits {
  return state.services.get(service)?.index?.limits ?? documentTiming.DEFAULT_LIMITS;
}
