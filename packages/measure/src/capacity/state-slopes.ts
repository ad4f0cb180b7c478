/** Memory of what the cores hold, for each piece. Needs `node --expose-gc`. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

export type StateSlope = { name: string; bytesEach: number };

const COUNT = 5000;
const SMALL_PAYLOAD_BYTES = 256;
const NOW_MS = 1_700_000_000_000;

type CollectGarbage = { gc?: () => void };

/** Reads the memory in use after a collection, bytes. */
function readUsed(): number {
  const { gc } = globalThis as CollectGarbage;
  if (gc === undefined) {
    throw new Error('start with --expose-gc');
  }
  gc();
  const { heapUsed, external, arrayBuffers } = process.memoryUsage();
  return heapUsed + external + arrayBuffers;
}

/** Measures the memory of each of many pieces, bytes. */
function measureEach(name: string, build: () => unknown, pieces: number): StateSlope {
  const before = readUsed();
  const held = build();
  const after = readUsed();
  return { name, bytesEach: held === undefined ? 0 : (after - before) / pieces };
}

/** Builds a document with so many credentials and backend servers. */
export function buildDocument(workspaces: number, backendServers: number): core.StoredDocument {
  const document = schema.create(schema.ServiceDocumentSchema, {
    service: 'measured',
    version: 1,
    kind: schema.ServiceKind.MODEL,
    tiers: ['t1', 't2', 't3', 't4', 't5'],
    routes: [{ pathPrefix: '/', repeat: schema.Repeat.ALLOWED }],
    workspaces: Array.from({ length: workspaces }, (_, index) => ({ name: `w${index}` })),
    credentials: Array.from({ length: workspaces }, (_, index) => ({
      tokenSha256: index.toString(16).padStart(64, '0'),
      workspace: `w${index}`,
      tier: `t${1 + (index % 5)}`,
    })),
    backendServers: Array.from({ length: backendServers }, (_, index) => ({
      id: `b${index}`,
      address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`,
      failureDomain: `d${index % 7}`,
      addedInVersion: 1,
    })),
  });
  const json = JSON.stringify(schema.toJson(schema.ServiceDocumentSchema, document));
  return { document, json };
}

/** Creates an entry with a document in force. */
export function createEntry(stored: core.StoredDocument): core.EntryState {
  const identity = { entryId: 'e1', life: 'l1', failureDomain: 'd1' };
  const state = core.createEntryState(
    identity,
    core.createLateBindingPolicy(() => 0.5),
  );
  core.handleEntryEvent(state, { kind: 'documentRead', stored }, NOW_MS);
  return state;
}

/** Builds a request of one workspace. */
export function buildArrived(callerId: number, workspace: number): core.ArrivedRequest {
  return {
    callerId,
    service: 'measured',
    method: 'POST',
    path: '/v1/completions',
    contentType: 'application/json',
    payload: new Uint8Array(SMALL_PAYLOAD_BYTES),
    tokenSha256: workspace.toString(16).padStart(64, '0'),
    key: '',
    timeoutMs: 60_000,
    contentDigest: `digest-${callerId}`,
    estimatedTokens: 100,
    prefixHashes: [],
  };
}

/** Fills an entry with waiting requests. */
function addWaiting(): core.EntryState {
  const state = createEntry(buildDocument(COUNT, 2));
  Array.from({ length: COUNT }, (_, index) =>
    core.handleEntryEvent(
      state,
      { kind: 'requestArrived', request: buildArrived(index + 1, index) },
      NOW_MS,
    ),
  );
  return state;
}

/** Fills an agent with claimed keys. */
function addKeys(): core.AgentState {
  const state = core.createAgentState(
    { backendServerId: 'b0', service: 'measured', life: 'l1' },
    NOW_MS - 10_000_000,
  );
  const stored = buildDocument(1, 2);
  core.handleAgentEvent(state, { kind: 'documentRead', stored }, NOW_MS);
  core.handleAgentEvent(state, { kind: 'linkOpened', linkId: 1 }, NOW_MS);
  Array.from({ length: COUNT }, (_, index) => {
    const claim = schema.create(schema.ClaimSchema, {
      claimId: `c${index}`,
      workspace: 'w0',
      key: `00000000-0000-7000-8000-${String(index).padStart(12, '0')}`,
      contentDigest: `digest-${index}`,
      ref: { requestId: `e1-l1-${index}`, attempt: 1 },
      backendServerId: 'b0',
      agentLife: 'l1',
      arrivedMs: NOW_MS,
      documentVersion: 1,
    });
    const message = schema.create(schema.EntryMessageSchema, {
      body: { case: 'claim', value: claim },
    });
    return core.handleAgentEvent(state, { kind: 'entryMessage', linkId: 1, message }, NOW_MS);
  });
  return state;
}

/** Measures every piece. */
export function measureState(): StateSlope[] {
  const waiting = measureEach('waiting request with 256 bytes', addWaiting, COUNT);
  const workspace = measureEach(
    'workspace with one credential, document and index',
    () => createEntry(buildDocument(COUNT, 2)),
    COUNT,
  );
  return [
    workspace,
    { ...waiting, bytesEach: waiting.bytesEach - workspace.bytesEach },
    measureEach('remembered key at its home', addKeys, COUNT),
    measureEach(
      'backend server seen by an entry',
      () => createEntry(buildDocument(1, COUNT)),
      COUNT,
    ),
  ];
}
