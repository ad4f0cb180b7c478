/** Drives an agent's core in tests: builds events and reads its effects. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../../shared/attempt-ref.js';
import * as agentEvent from '../agent-event.js';
import * as agentState from '../agent-state.js';
import * as handleAgentEvent from '../handle-agent-event.js';

export const LINK_ID = 1;
export const LIFE = 'life-1';
export const SERVICE = 'brimwit';
export const SERVER_ID = 'runner-1';

export type Bench = {
  state: agentState.AgentState;
  now: number;
  version: number;
};

/** Fields of a message, any of them left out. */
type Fields<T> = Partial<Omit<T, '$typeName' | '$unknown'>>;

type Sent = schema.AgentMessage['body'];
type SentOf<C extends Sent['case']> = Extract<Sent, { case: C }>;

/** Applies one event at the bench's present time. */
export function handle(bench: Bench, event: agentEvent.AgentEvent): agentEvent.AgentEffect[] {
  return handleAgentEvent.handleAgentEvent(bench.state, event, bench.now);
}

/** Passes time and applies a tick. */
export function advance(bench: Bench, ms: number): agentEvent.AgentEffect[] {
  bench.now += ms;
  return handle(bench, { kind: 'ticked' });
}

/** Puts a document with these limits in force. */
export function setLimits(
  bench: Bench,
  limits: Fields<schema.Limits>,
  serverState = schema.BackendServerState.ACTIVE,
): agentEvent.AgentEffect[] {
  bench.version += 1;
  const document = schema.create(schema.ServiceDocumentSchema, {
    service: SERVICE,
    version: bench.version,
    limits,
    backendServers: [{ id: SERVER_ID, state: serverState }],
  });
  return handle(bench, { kind: 'documentRead', stored: { document, json: '{}' } });
}

/** Creates an agent with one open link and these limits. */
export function createBench(limits: Fields<schema.Limits> = {}): Bench {
  const now = 1_000_000;
  const identity = { backendServerId: SERVER_ID, service: SERVICE, life: LIFE };
  const bench = { state: agentState.createAgentState(identity, now), now, version: 0 };
  handle(bench, { kind: 'linkOpened', linkId: LINK_ID });
  setLimits(bench, limits);
  return bench;
}

/** Applies one message of an entry. */
export function receive(
  bench: Bench,
  body: schema.EntryMessage['body'],
  linkId = LINK_ID,
): agentEvent.AgentEffect[] {
  const message = schema.create(schema.EntryMessageSchema, { body });
  return handle(bench, { kind: 'entryMessage', linkId, message });
}

/** Offers a request. */
export function offer(
  bench: Bench,
  requestId: string,
  fields: Fields<schema.Offer> = {},
): agentEvent.AgentEffect[] {
  const value = schema.create(schema.OfferSchema, {
    ref: attemptRef.buildRef(requestId, 1),
    agentLife: LIFE,
    workspace: 'brim',
    weight: 1,
    issuedMs: bench.now,
    deadlineMs: bench.now + 60_000,
    estimatedTokens: 100,
    contentDigest: `digest-${requestId}`,
    ...fields,
  });
  return receive(bench, { case: 'offer', value });
}

/** Asks for a place. */
export function reserve(
  bench: Bench,
  requestId: string,
  fields: Fields<schema.Reserve> = {},
): agentEvent.AgentEffect[] {
  const value = schema.create(schema.ReserveSchema, {
    requestId,
    workspace: 'brim',
    weight: 1,
    deadlineMs: bench.now + 60_000,
    estimatedTokens: 100,
    ...fields,
  });
  return receive(bench, { case: 'reserve', value });
}

/** Gives up a reservation or a place. */
export function release(bench: Bench, requestId: string): agentEvent.AgentEffect[] {
  const value = schema.create(schema.ReleaseSchema, { requestId });
  return receive(bench, { case: 'release', value });
}

/** Lets the engine answer an attempt whole. */
export function complete(bench: Bench, requestId: string): agentEvent.AgentEffect[] {
  const refKey = `${requestId}#1`;
  return [
    ...handle(bench, { kind: 'engineHead', refKey, status: 200, contentType: 'text/plain' }),
    ...handle(bench, { kind: 'engineEnd', refKey }),
  ];
}

/** Lets an attempt fail on the engine. */
export function fail(
  bench: Bench,
  requestId: string,
  fault: agentEvent.EngineFault,
): agentEvent.AgentEffect[] {
  return handle(bench, { kind: 'engineFailed', refKey: `${requestId}#1`, fault });
}

/** Lists the requests that were handed to the engine. */
export function listStarted(effects: agentEvent.AgentEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === 'startOnEngine' ? [effect.offer.ref?.requestId ?? ''] : [],
  );
}

/** Lists the messages of one kind that went to entries. */
export function listSent<C extends Sent['case']>(
  effects: agentEvent.AgentEffect[],
  name: C,
): NonNullable<SentOf<C>['value']>[] {
  return effects.flatMap((effect) =>
    effect.kind === 'sendToEntry' && effect.message.body.case === name
      ? [effect.message.body.value as NonNullable<SentOf<C>['value']>]
      : [],
  );
}

/** Lists the observations of one kind. */
export function listObserved(effects: agentEvent.AgentEffect[], kind: string): unknown[] {
  return effects.flatMap((effect) =>
    effect.kind === 'observe' && effect.observation.kind === kind ? [effect.observation] : [],
  );
}
