/** The state that one entry task owns. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as documentTiming from '../shared/document-timing.js';
import * as entryEvent from './entry-event.js';
import type * as keyClaim from './key-claim.js';
import * as linkSelection from './link-selection.js';
import type * as outcomes from './outcomes.js';
import * as placement from './placement.js';

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
  givenUp: outcomes.Failure | undefined;
  claimRounds: number;
  /** Its homes could not decide; it may be repeated and goes on without. */
  claimWaived: boolean;
  /** What earlier attempts of a repeatable request came to. */
  earlierRun: schema.RunState;
  /** Backend servers that refused the request since it began to wait. */
  refusedBy: Set<string>;
  head: schema.AnswerHead | undefined;
  /** Parts of an answer that is not streamed, until it is whole. */
  collected: Uint8Array[];
  firstByteSent: boolean;
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
  lastHeardMs: number;
  lastSentMs: number;
  heartbeatsSent: number;
  load: schema.AgentLoad | undefined;
  /** Estimated tokens of this entry's own requests there. */
  outstandingTokens: number;
  nextOpenMs: number;
  /** One of the links that this entry keeps; others are opened on demand. */
  kept: boolean;
  /** When a link on demand was last needed, milliseconds; 0 if never. */
  neededMs: number;
  /** Attempts of this entry's requests there. */
  heldCount: number;
};

/** Behaviour that varies, handed in by the daemon, a test or a measurement. */
export type EntryPolicy = {
  chooseBackendServer: placement.ChooseBackendServer;
  /** Uniform in [0, 1). */
  drawRandom: () => number;
};

/** What is left to do for a request once the present event has been applied. */
export type FollowUp = { kind: 'place' | 'close'; requestId: string };

export type EntryState = {
  entryId: string;
  life: string;
  failureDomain: string;
  /** Links kept for each service. */
  linksPerService: number;
  policy: EntryPolicy;
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
  newerSeen: documentStore.NewerVersions;
  /** When this process first saw a backend server declared gone, milliseconds. */
  goneSeenMs: Map<string, number>;
  agents: Map<string, AgentView>;
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
export function createEntryState(identity: EntryIdentity, policy: EntryPolicy): EntryState {
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
    newerSeen: new Map(),
    goneSeenMs: new Map(),
    agents: new Map(),
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

/**
 * Tells whether an entry knows of a newer document that it is about to get.
 *
 * A process that has just started may have been given a stale document by the
 * configuration service. It places nothing by it while a peer is sending the
 * newer one; bounded, since the newer one may be faulty for this process.
 */
export function isBehind(state: EntryState, service: string, now: number): boolean {
  const newer = state.newerSeen.get(service);
  const version = documentStore.getVersion(state.documents, service);
  const waits = newer !== undefined && newer.version > version;
  return waits && now - newer.sinceMs <= documentStore.DOCUMENT_ANSWER_MS;
}

/** Gets the timing of a service. */
export function getTiming(state: EntryState, service: string): documentTiming.Timing {
  return documentTiming.getTiming(getDocument(state, service));
}

/** Gets the limits of a service. */
export function getLimits(state: EntryState, service: string): documentTiming.Limits {
  return documentTiming.getLimits(getDocument(state, service));
}
