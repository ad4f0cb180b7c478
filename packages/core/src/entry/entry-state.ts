/** The state that one entry task owns. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as documentTiming from '../shared/document-timing.js';
import * as entryEvent from './entry-event.js';
import * as placement from './placement.js';

/** The one agent that an attempt was handed to. */
export type Target = {
  backendServerId: string;
  agentLife: string;
  ref: schema.AttemptRef;
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
  leaving: boolean;
  lastHeardMs: number;
  lastSentMs: number;
  heartbeatsSent: number;
  load: schema.AgentLoad | undefined;
  /** Estimated tokens of this entry's own requests there. */
  outstandingTokens: number;
  nextOpenMs: number;
};

/** Behaviour that varies, handed in by the daemon, a test or a measurement. */
export type EntryPolicy = {
  chooseBackendServer: placement.ChooseBackendServer;
  /** Uniform in [0, 1). */
  drawRandom: () => number;
};

export type EntryState = {
  entryId: string;
  life: string;
  failureDomain: string;
  policy: EntryPolicy;
  nextSerial: number;
  documents: documentStore.DocumentStore;
  requests: Map<string, EntryRequest>;
  requestByCaller: Map<number, string>;
  agents: Map<string, AgentView>;
  shutdownStarted: boolean;
  stopped: boolean;
};

export type EntryIdentity = {
  entryId: string;
  life: string;
  failureDomain: string;
};

/** Creates the state of an entry whose process has just started. */
export function createEntryState(identity: EntryIdentity, policy: EntryPolicy): EntryState {
  return {
    ...identity,
    policy,
    nextSerial: 1,
    documents: new Map(),
    requests: new Map(),
    requestByCaller: new Map(),
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

/** Gets the timing of a service. */
export function getTiming(state: EntryState, service: string): documentTiming.Timing {
  return documentTiming.getTiming(getDocument(state, service));
}

/** Gets the limits of a service. */
export function getLimits(state: EntryState, service: string): documentTiming.Limits {
  return documentTiming.getLimits(getDocument(state, service));
}
