/** Bytes of the messages that control takes, as encoded. */
import * as schema from '@toucanproxy/schema';

export type MessageSize = { name: string; bytes: number };

const SERVICE = 'modelo-triaje';
const REQUEST_ID = 'entry-12-0123456789ab-1234567';

/** Encodes a message of an entry. */
function countEntryBytes(body: schema.EntryMessage['body']): number {
  const message = schema.create(schema.EntryMessageSchema, { body });
  return schema.toBinary(schema.EntryMessageSchema, message).length;
}

/** Encodes a message of an agent. */
function countAgentBytes(body: schema.AgentMessage['body']): number {
  const message = schema.create(schema.AgentMessageSchema, { body });
  return schema.toBinary(schema.AgentMessageSchema, message).length;
}

/** Measures the messages of heartbeats and of one placement. */
export function measureMessages(): MessageSize[] {
  const document = { service: SERVICE, version: 1234, contentHash: 0xdeadbeef };
  const load = {
    queued: 12,
    running: 8,
    queuedTokens: 12_345,
    runningTokens: 23_456,
    tokensPerSecond: 2345.6,
    queuedByTier: [0, 1, 2, 3, 4],
  };
  const reserve = schema.create(schema.ReserveSchema, {
    requestId: REQUEST_ID,
    tierRank: 2,
    workspace: 'workspace-123',
    estimatedTokens: 1234,
    deadlineMs: 1_700_000_000_000,
    weight: 1,
  });
  const heartbeat = schema.create(schema.EntryHeartbeatSchema, { document, sequence: 1234 });
  const reply = schema.create(schema.AgentHeartbeatSchema, { document, sequence: 1234, load });
  const grant = schema.create(schema.GrantSchema, { requestId: REQUEST_ID, holdMs: 250 });
  const release = schema.create(schema.ReleaseSchema, { requestId: REQUEST_ID });
  return [
    {
      name: 'heartbeat of an entry',
      bytes: countEntryBytes({ case: 'heartbeat', value: heartbeat }),
    },
    { name: 'heartbeat of an agent', bytes: countAgentBytes({ case: 'heartbeat', value: reply }) },
    { name: 'reserve', bytes: countEntryBytes({ case: 'reserve', value: reserve }) },
    { name: 'grant', bytes: countAgentBytes({ case: 'grant', value: grant }) },
    { name: 'release', bytes: countEntryBytes({ case: 'release', value: release }) },
  ];
}
