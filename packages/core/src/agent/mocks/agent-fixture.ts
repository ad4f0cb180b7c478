/** Test fixture that drives an agent's core: builds events and filters effects. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../../shared/attempt-ref.js';
import * as agentEvent from '../agent-event.js';
import * as agentState from '../agent-state.js';
import * as handleAgentEvent from '../handle-agent-event.js';

export const LINK_ID = 1;
export const LIFE = 'life-1';
export const SERVICE = 'brimwit';
export const SERVER_ID = 'server-1';

export type AgentFixture = {
  state: agentState.AgentState;
  now: number;
  version: number;
};

/** Optional fields of a message. */
type Fields<T> = Partial<Omit<T, '$typeName' | '$unknown'>>;

type Sent = schema.AgentMessage['body'];
type SentOf<C extends Sent['case']> = Extract<Sent, { case: C }>;

/** Applies one event at the fixture's present time. */
export function handle(
  fixture: AgentFixture,
  event: agentEvent.AgentEvent,
): agentEvent.AgentEffect[] {
  return handleAgentEvent.handleAgentEvent(fixture.state, event, fixture.now);
}

/** Advances the clock and applies a tick. */
export function advance(fixture: AgentFixture, ms: number): agentEvent.AgentEffect[] {
  fixture.now += ms;
  return handle(fixture, { kind: 'ticked' });
}

/** Activates a document with these limits. */
export function setLimits(
  fixture: AgentFixture,
  limits: Fields<schema.Limits>,
  serverState = schema.BackendServerState.ACTIVE,
): agentEvent.AgentEffect[] {
  fixture.version += 1;
  const document = schema.create(schema.ServiceDocumentSchema, {
    service: SERVICE,
    version: fixture.version,
    limits,
    backendServers: [{ id: SERVER_ID, state: serverState }],
  });
  return handle(fixture, { kind: 'documentRead', stored: { document, json: '{}' } });
}

/** Creates an agent with one open link and these limits. */
export function createAgentFixture(limits: Fields<schema.Limits> = {}): AgentFixture {
  const now = 1_000_000;
  const identity = { backendServerId: SERVER_ID, service: SERVICE, life: LIFE };
  const fixture = { state: agentState.createAgentState(identity, now), now, version: 0 };
  handle(fixture, { kind: 'linkOpened', linkId: LINK_ID });
  setLimits(fixture, limits);
  return fixture;
}

/** Applies one message of an entry. */
export function receive(
  fixture: AgentFixture,
  body: schema.EntryMessage['body'],
  linkId = LINK_ID,
): agentEvent.AgentEffect[] {
  const message = schema.create(schema.EntryMessageSchema, { body });
  return handle(fixture, { kind: 'entryMessage', linkId, message });
}

/** Applies the offer of a request. */
export function offer(
  fixture: AgentFixture,
  requestId: string,
  fields: Fields<schema.Offer> = {},
): agentEvent.AgentEffect[] {
  const value = schema.create(schema.OfferSchema, {
    ref: attemptRef.buildRef(requestId, 1),
    agentLife: LIFE,
    workspace: 'brim',
    weight: 1,
    issuedMs: fixture.now,
    deadlineMs: fixture.now + 60_000,
    estimatedTokens: 100,
    contentDigest: `digest-${requestId}`,
    ...fields,
  });
  return receive(fixture, { case: 'offer', value });
}

/** Applies the reservation of a slot. */
export function reserve(
  fixture: AgentFixture,
  requestId: string,
  fields: Fields<schema.Reserve> = {},
): agentEvent.AgentEffect[] {
  const value = schema.create(schema.ReserveSchema, {
    requestId,
    workspace: 'brim',
    weight: 1,
    deadlineMs: fixture.now + 60_000,
    estimatedTokens: 100,
    ...fields,
  });
  return receive(fixture, { case: 'reserve', value });
}

/** Applies the release of a reservation or a held slot. */
export function release(fixture: AgentFixture, requestId: string): agentEvent.AgentEffect[] {
  const value = schema.create(schema.ReleaseSchema, { requestId });
  return receive(fixture, { case: 'release', value });
}

/** Lets the engine complete an attempt. */
export function complete(fixture: AgentFixture, requestId: string): agentEvent.AgentEffect[] {
  const refKey = `${requestId}#1`;
  return [
    ...handle(fixture, { kind: 'engineHead', refKey, status: 200, contentType: 'text/plain' }),
    ...handle(fixture, { kind: 'engineEnd', refKey }),
  ];
}

/** Lets an attempt end with an engine fault. */
export function fail(
  fixture: AgentFixture,
  requestId: string,
  fault: agentEvent.EngineFault,
): agentEvent.AgentEffect[] {
  return handle(fixture, { kind: 'engineFailed', refKey: `${requestId}#1`, fault });
}

/** Lists the requests that were handed to the engine. */
export function listStarted(effects: agentEvent.AgentEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === 'startOnEngine' ? [effect.offer.ref?.requestId ?? ''] : [],
  );
}

/** Lists the messages of one kind that were sent to entries. */
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
