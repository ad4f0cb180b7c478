/** Joins real entry and agent cores by queues that a test can hold back. */
import * as schema from '@toucanproxy/schema';
import * as core from '../index.js';

export const SERVICE = 'ledgerhat';
export const WORKSPACE = 'brim';
/** Present time at which a fleet starts, milliseconds. */
export const START_MS = 1_800_000_000_000;

const WARM_UP_MS = 10_000;

type Message = {
  toAgent: boolean;
  entryId: string;
  agentId: string;
  body: schema.EntryMessage | schema.AgentMessage;
};

export type SmallFleet = {
  now: number;
  entries: Map<string, core.EntryState>;
  agents: Map<string, core.AgentState>;
  queue: Message[];
  /** Messages that a test keeps from arriving. */
  held: Message[];
  isHeld: (message: Message) => boolean;
  /** Nothing passes between processes, and no end of a link learns of it. */
  silent: boolean;
  /** Attempts handed to engines, in order. */
  dispatched: { agentId: string; refKey: string }[];
  /** What callers were told, by caller. */
  told: Map<number, core.EntryEffect[]>;
  dropped: core.DropReason[];
  /** Requests whose places entries gave back, in order. */
  released: string[];
  /** Events of log lines, in order. */
  logged: string[];
  /** Processes that were sent a document by a peer, in order. */
  fetched: string[];
};

/** Builds a document with one backend server for each agent named. */
export function buildDocument(
  agentIds: readonly string[],
  fields: Partial<schema.ServiceDocument> = {},
): core.StoredDocument {
  const document = schema.create(schema.ServiceDocumentSchema, {
    service: SERVICE,
    version: 1,
    tiers: ['stall'],
    routes: [
      { pathPrefix: '/order', repeat: schema.Repeat.ONCE },
      { pathPrefix: '/look', repeat: schema.Repeat.ALLOWED },
    ],
    workspaces: [{ name: WORKSPACE }],
    credentials: [{ tokenSha256: 'token', workspace: WORKSPACE, tier: 'stall' }],
    backendServers: agentIds.map((id) => ({ id, address: id, addedInVersion: 1 })),
  });
  Object.assign(document, fields);
  const json = JSON.stringify(schema.toJson(schema.ServiceDocumentSchema, document));
  return { document, json };
}

/** Reads the text of a document that a peer has sent. */
function parseStored(json: string): core.StoredDocument {
  return { document: schema.fromJson(schema.ServiceDocumentSchema, JSON.parse(json)), json };
}

/** Starts a life of an agent. */
export function startAgent(fleet: SmallFleet, id: string, life: string): void {
  const identity = { backendServerId: id, service: SERVICE, life };
  fleet.agents.set(id, core.createAgentState(identity, fleet.now));
}

/** Starts an entry. */
export function startEntry(fleet: SmallFleet, entryId: string): void {
  const policy = core.createLeastOutstandingPolicy(() => 0);
  const identity = { entryId, life: 'life-1', failureDomain: '' };
  fleet.entries.set(entryId, core.createEntryState(identity, policy));
}

/** Creates a fleet that runs one document. */
export function createSmallFleet(
  entryIds: readonly string[],
  agentIds: readonly string[],
  stored = buildDocument(agentIds),
): SmallFleet {
  const fleet: SmallFleet = {
    now: START_MS,
    entries: new Map(),
    agents: new Map(),
    queue: [],
    held: [],
    isHeld: () => false,
    silent: false,
    dispatched: [],
    told: new Map(),
    dropped: [],
    released: [],
    logged: [],
    fetched: [],
  };
  agentIds.forEach((id) => startAgent(fleet, id, `${id}-life-1`));
  agentIds.forEach((id) => applyToAgent(fleet, id, { kind: 'documentRead', stored }));
  entryIds.forEach((entryId) => {
    startEntry(fleet, entryId);
    applyToEntry(fleet, entryId, { kind: 'documentRead', stored });
  });
  passMessages(fleet);
  // Homes cannot decide on keys from before their life, plus twice the skew.
  passTime(fleet, WARM_UP_MS);
  return fleet;
}

/** Applies an event to an entry. */
export function applyToEntry(fleet: SmallFleet, entryId: string, event: core.EntryEvent): void {
  const state = fleet.entries.get(entryId);
  if (state !== undefined) {
    core
      .handleEntryEvent(state, event, fleet.now)
      .forEach((effect) => executeEntryEffect(fleet, entryId, effect));
  }
}

/** Applies an event to an agent. */
export function applyToAgent(fleet: SmallFleet, agentId: string, event: core.AgentEvent): void {
  const state = fleet.agents.get(agentId);
  if (state !== undefined) {
    core
      .handleAgentEvent(state, event, fleet.now)
      .forEach((effect) => executeAgentEffect(fleet, agentId, effect));
  }
}

/** Numbers the link of an entry: one for each entry and agent. */
function findLinkId(fleet: SmallFleet, entryId: string): number {
  return [...fleet.entries.keys()].indexOf(entryId);
}

/** Carries out what an entry asks for. */
function executeEntryEffect(fleet: SmallFleet, entryId: string, effect: core.EntryEffect): void {
  switch (effect.kind) {
    case 'openLink': {
      const agentId = effect.backendServerId;
      if (fleet.agents.has(agentId) && !fleet.silent) {
        applyToEntry(fleet, entryId, { kind: 'linkOpened', backendServerId: agentId });
        applyToAgent(fleet, agentId, { kind: 'linkOpened', linkId: findLinkId(fleet, entryId) });
      }
      return;
    }
    case 'closeLink': {
      const linkId = findLinkId(fleet, entryId);
      if (!fleet.silent) {
        applyToAgent(fleet, effect.backendServerId, { kind: 'linkClosed', linkId });
      }
      return;
    }
    case 'sendToAgent': {
      const agentId = effect.backendServerId;
      fleet.queue.push({ toAgent: true, entryId, agentId, body: effect.message });
      if (effect.message.body.case === 'release') {
        fleet.released.push(effect.message.body.value.requestId);
      }
      return;
    }
    case 'answerHead':
    case 'answerData':
    case 'answerEnd':
    case 'answerFailure':
      fleet.told.set(effect.callerId, [...(fleet.told.get(effect.callerId) ?? []), effect]);
      return;
    case 'documentReceived':
      fleet.fetched.push(entryId);
      applyToEntry(fleet, entryId, { kind: 'documentRead', stored: parseStored(effect.json) });
      return;
    case 'log':
      fleet.logged.push(effect.event);
      return;
    case 'observe':
      if (effect.observation.kind === 'dropped') {
        fleet.dropped.push(effect.observation.reason);
      }
      break;
    default:
  }
}

/** Carries out what an agent asks for. */
function executeAgentEffect(fleet: SmallFleet, agentId: string, effect: core.AgentEffect): void {
  if (effect.kind === 'startOnEngine') {
    fleet.dispatched.push({ agentId, refKey: effect.refKey });
  }
  if (effect.kind === 'documentReceived') {
    fleet.fetched.push(agentId);
    applyToAgent(fleet, agentId, { kind: 'documentRead', stored: parseStored(effect.json) });
  }
  if (effect.kind === 'log') {
    fleet.logged.push(effect.event);
  }
  const entryId =
    effect.kind === 'sendToEntry' ? [...fleet.entries.keys()][effect.linkId] : undefined;
  if (effect.kind === 'sendToEntry' && entryId !== undefined) {
    fleet.queue.push({ toAgent: false, entryId, agentId, body: effect.message });
  }
}

/** Delivers one message. */
function passMessage(fleet: SmallFleet, message: Message): void {
  const { entryId, agentId, body } = message;
  if (message.toAgent) {
    const linkId = findLinkId(fleet, entryId);
    const event = { kind: 'entryMessage', linkId, message: body as schema.EntryMessage } as const;
    applyToAgent(fleet, agentId, event);
    return;
  }
  const event = {
    kind: 'agentMessage',
    backendServerId: agentId,
    message: body as schema.AgentMessage,
  } as const;
  applyToEntry(fleet, entryId, event);
}

/** Delivers messages until none is left but those held back. */
export function passMessages(fleet: SmallFleet): void {
  let message = fleet.queue.shift();
  while (message !== undefined) {
    if (fleet.isHeld(message)) {
      fleet.held.push(message);
    } else if (!fleet.silent) {
      passMessage(fleet, message);
    }
    message = fleet.queue.shift();
  }
}

/** Holds back messages to or from an entry whose body is of one kind. */
export function keepBack(fleet: SmallFleet, entryId: string, kind: string): void {
  fleet.isHeld = (message) => message.entryId === entryId && message.body.body.case === kind;
}

/** Delivers what was held back. */
export function releaseHeld(fleet: SmallFleet): void {
  fleet.isHeld = () => false;
  fleet.queue.push(...fleet.held.splice(0));
  passMessages(fleet);
}

/** Lets time pass in steps with a tick of every process at each. */
export function passTime(fleet: SmallFleet, ms: number, stepMs = 100): void {
  const end = fleet.now + ms;
  while (fleet.now < end) {
    fleet.now = Math.min(end, fleet.now + stepMs);
    fleet.entries.forEach((_, id) => applyToEntry(fleet, id, { kind: 'ticked' }));
    fleet.agents.forEach((_, id) => applyToAgent(fleet, id, { kind: 'ticked' }));
    passMessages(fleet);
  }
}

/** Sends a call with a key to an entry. */
export function sendCall(
  fleet: SmallFleet,
  entryId: string,
  callerId: number,
  fields: Partial<core.ArrivedRequest> = {},
): void {
  const request: core.ArrivedRequest = {
    callerId,
    service: SERVICE,
    method: 'POST',
    path: '/order',
    contentType: 'application/json',
    payload: new Uint8Array(),
    tokenSha256: 'token',
    key: buildKey(fleet.now),
    timeoutMs: 20_000,
    contentDigest: 'digest',
    estimatedTokens: 10,
    prefixHashes: [],
    ...fields,
  };
  applyToEntry(fleet, entryId, { kind: 'requestArrived', request });
  passMessages(fleet);
}

/** Lets the engine of a dispatched attempt answer whole. */
export function completeRun(fleet: SmallFleet, index: number): void {
  const { agentId, refKey } = fleet.dispatched[index];
  const head = { kind: 'engineHead', refKey, status: 200, contentType: 'text/plain' } as const;
  applyToAgent(fleet, agentId, head);
  applyToAgent(fleet, agentId, { kind: 'engineData', refKey, data: new Uint8Array([index]) });
  applyToAgent(fleet, agentId, { kind: 'engineEnd', refKey });
  passMessages(fleet);
}

/** Builds a UUID of version 7 that was issued at a time. */
export function buildKey(issuedMs: number, serial = 1): string {
  const time = issuedMs.toString(16).padStart(12, '0');
  const tail = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

/** Formats what a caller was told: "answer" with its bytes, a failure, or "" while nothing is final. */
export function formatTold(fleet: SmallFleet, callerId: number): string {
  const effects = fleet.told.get(callerId) ?? [];
  const failure = effects.find((effect) => effect.kind === 'answerFailure');
  if (failure?.kind === 'answerFailure') {
    return `${schema.ResultCode[failure.code]} ${schema.RunState[failure.runState]}`;
  }
  const bytes = effects.flatMap((effect) => (effect.kind === 'answerData' ? [...effect.data] : []));
  return effects.some((effect) => effect.kind === 'answerEnd') ? `answer ${bytes.join()}` : '';
}
