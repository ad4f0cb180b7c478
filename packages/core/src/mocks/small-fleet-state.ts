/** The state of a small fleet and the documents that it runs. */
import * as schema from '@toucanproxy/schema';
import * as core from '../index.js';

export const SERVICE = 'ledgerhat';
export const WORKSPACE = 'brim';
/** Virtual time at which a fleet starts, milliseconds since the Unix epoch. */
export const START_MS = 1_800_000_000_000;

export type Message = {
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
  /** Messages that a test holds back. */
  held: Message[];
  isHeld: (message: Message) => boolean;
  /** The network is down: messages are lost, and neither end of a link notices. */
  isPartitioned: boolean;
  /** Attempts that agents started on engines, in order. */
  dispatched: { agentId: string; refKey: string }[];
  /** Responses to callers, by caller id. */
  responses: Map<number, core.EntryEffect[]>;
  dropped: core.DropReason[];
  /** Requests whose reservations entries released, in order. */
  released: string[];
  /** Event names of log lines, in order. */
  logged: string[];
  /** Processes that received a document from a peer, in order. */
  fetched: string[];
};

/** Builds a document with one backend server for each agent. */
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

/** Parses a document in JSON that a peer has sent. */
export function parseStored(json: string): core.StoredDocument {
  return { document: schema.fromJson(schema.ServiceDocumentSchema, JSON.parse(json)), json };
}
