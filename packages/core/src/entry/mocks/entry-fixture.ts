/** Drives an entry's core in tests: builds events and reads the effects. */
import * as schema from '@toucanproxy/schema';
import * as entryEvent from '../entry-event.js';
import * as entryPolicy from '../entry-policy.js';
import * as entryState from '../entry-state.js';
import * as handleEntryEvent from '../handle-entry-event.js';

export const SERVICE = 'brimwit';

export type Fixture = {
  state: entryState.EntryState;
  now: number;
  nextCallerId: number;
  /** Every effect so far. */
  effects: entryEvent.EntryEffect[];
};

type Sent = schema.EntryMessage['body'];
type SentOf<C extends Sent['case']> = Extract<Sent, { case: C }>;
type Received = schema.AgentMessage['body'];
type Fields<T> = Partial<Omit<T, '$typeName' | '$unknown'>>;

export type FixtureOptions = {
  agents: string[];
  policy?: entryPolicy.EntryPolicy;
  limits?: Fields<schema.Limits>;
  /** Each agent has reported a short queue, so that several are asked at the same time. */
  busy?: boolean;
};

/** Applies one event at the fixture's current time. */
export function handle(fixture: Fixture, event: entryEvent.EntryEvent): entryEvent.EntryEffect[] {
  const effects = handleEntryEvent.handleEntryEvent(fixture.state, event, fixture.now);
  fixture.effects.push(...effects);
  return effects;
}

/** Advances the time and applies a tick. */
export function advance(fixture: Fixture, ms: number): entryEvent.EntryEffect[] {
  fixture.now += ms;
  return handle(fixture, { kind: 'ticked' });
}

/** Delivers one message of an agent. */
export function receive(
  fixture: Fixture,
  backendServerId: string,
  body: Received,
): entryEvent.EntryEffect[] {
  const message = schema.create(schema.AgentMessageSchema, { body });
  return handle(fixture, { kind: 'agentMessage', backendServerId, message });
}

/** Opens the link of an agent. */
export function openLink(fixture: Fixture, backendServerId: string): entryEvent.EntryEffect[] {
  const fields = { backendServerId, agentLife: `life-${backendServerId}` };
  const value = schema.create(schema.AgentHelloSchema, fields);
  return receive(fixture, backendServerId, { case: 'hello', value });
}

/** Builds a document with two tiers and two workspaces. */
export function buildDocument(version: number, options: FixtureOptions): schema.ServiceDocument {
  return schema.create(schema.ServiceDocumentSchema, {
    service: SERVICE,
    version,
    tiers: ['stall', 'draft'],
    routes: [{ pathPrefix: '/once' }, { pathPrefix: '/repeat', repeat: schema.Repeat.ALLOWED }],
    workspaces: [{ name: 'brim' }, { name: 'band' }],
    credentials: ['brim', 'band'].flatMap((workspace) =>
      ['stall', 'draft'].map((tier) => ({ tokenSha256: `${workspace}-${tier}`, workspace, tier })),
    ),
    backendServers: options.agents.map((id) => ({ id, address: '127.0.0.1:1' })),
    limits: options.limits ?? {},
  });
}

/** Creates an entry that has a document with two tiers and open links. */
export function createFixture(options: FixtureOptions): Fixture {
  const policy = options.policy ?? entryPolicy.createLateBindingPolicy(() => 0.5);
  const identity = { entryId: 'entry-1', life: 'e1', failureDomain: 'suva-loft' };
  const state = entryState.createEntryState(identity, policy);
  const fixture: Fixture = { state, now: 1_000_000, nextCallerId: 1, effects: [] };
  const document = buildDocument(1, options);
  handle(fixture, { kind: 'documentRead', stored: { document, json: '{}' } });
  options.agents.forEach((id) => openLink(fixture, id));
  if (options.busy === true) {
    options.agents.forEach((id) => report(fixture, id, { queued: 1, queuedTokens: 100 }));
  }
  return fixture;
}

/** Delivers a caller's request and returns its caller id. */
export function sendRequest(
  fixture: Fixture,
  fields: Partial<entryEvent.ArrivedRequest> = {},
): number {
  const callerId = fixture.nextCallerId;
  fixture.nextCallerId += 1;
  const request = {
    callerId,
    service: SERVICE,
    method: 'POST',
    path: '/once',
    contentType: 'application/json',
    payload: new Uint8Array(),
    tokenSha256: 'brim-stall',
    key: '',
    timeoutMs: 10_000,
    contentDigest: `content-${callerId}`,
    estimatedTokens: 100,
    prefixHashes: [],
    ...fields,
  };
  handle(fixture, { kind: 'requestArrived', request });
  return callerId;
}

/** Returns the request id of a caller. */
export function getRequestId(fixture: Fixture, callerId: number): string {
  return fixture.state.requestByCaller.get(callerId) ?? '';
}

/** Lists the sent messages of one kind with their recipients. */
export function listSent<C extends Sent['case']>(
  effects: readonly entryEvent.EntryEffect[],
  kind: C,
): { to: string; value: SentOf<C>['value'] }[] {
  return effects.flatMap((effect) => {
    const body = effect.kind === 'sendToAgent' ? effect.message.body : undefined;
    return effect.kind === 'sendToAgent' && body?.case === kind
      ? [{ to: effect.backendServerId, value: body.value as SentOf<C>['value'] }]
      : [];
  });
}

/** Lists the agents that were asked for a slot for a caller's request. */
export function listAsked(fixture: Fixture, callerId: number): string[] {
  const requestId = getRequestId(fixture, callerId);
  return listSent(fixture.effects, 'reserve')
    .filter((sent) => sent.value.requestId === requestId)
    .map((sent) => sent.to);
}

/** Returns the failure that a caller received. */
export function findFailure(
  fixture: Fixture,
  callerId: number,
): Extract<entryEvent.EntryEffect, { kind: 'answerFailure' }> | undefined {
  return fixture.effects
    .filter((effect) => effect.kind === 'answerFailure')
    .find((effect) => effect.callerId === callerId);
}

/** Makes an agent grant a slot. */
export function grant(fixture: Fixture, from: string, requestId: string): entryEvent.EntryEffect[] {
  const value = schema.create(schema.GrantSchema, { requestId, holdMs: 200 });
  return receive(fixture, from, { case: 'grant', value });
}

/** Makes an agent refuse a slot. */
export function refuse(
  fixture: Fixture,
  from: string,
  requestId: string,
  code = schema.ResultCode.QUEUE_FULL,
): entryEvent.EntryEffect[] {
  const value = schema.create(schema.ReserveRefusedSchema, { requestId, code });
  return receive(fixture, from, { case: 'reserveRefused', value });
}

/** Makes an agent report its load. */
export function report(
  fixture: Fixture,
  from: string,
  load: Fields<schema.AgentLoad>,
  suspects: Fields<schema.Suspect>[] = [],
): entryEvent.EntryEffect[] {
  const value = schema.create(schema.AgentHeartbeatSchema, {
    load: schema.create(schema.AgentLoadSchema, load),
    suspects: suspects.map((one) => schema.create(schema.SuspectSchema, one)),
  });
  return receive(fixture, from, { case: 'heartbeat', value });
}

/** Builds the reference of an attempt. */
export function buildRef(requestId: string, attempt = 1): schema.AttemptRef {
  return schema.create(schema.AttemptRefSchema, { requestId, attempt });
}

/** Makes an agent start an attempt. */
export function start(fixture: Fixture, from: string, requestId: string, attempt = 1): void {
  const value = schema.create(schema.StartedSchema, { ref: buildRef(requestId, attempt) });
  receive(fixture, from, { case: 'started', value });
}

/** Makes an agent report that a started attempt failed. */
export function fail(
  fixture: Fixture,
  from: string,
  requestId: string,
  code: schema.ResultCode,
  attempt = 1,
): void {
  const ref = buildRef(requestId, attempt);
  const value = schema.create(schema.RunFailedSchema, { ref, code });
  receive(fixture, from, { case: 'failed', value });
}

/** Makes an agent send the complete response of a started attempt. */
export function complete(
  fixture: Fixture,
  from: string,
  requestId: string,
  data: Uint8Array,
): void {
  const contents: schema.AnswerPart['content'][] = [
    { case: 'head', value: schema.create(schema.AnswerHeadSchema, { status: 200 }) },
    { case: 'data', value: data },
    { case: 'end', value: schema.create(schema.AnswerEndSchema, { partCount: 3 }) },
  ];
  contents.forEach((content, sequence) => {
    const ref = buildRef(requestId);
    const value = schema.create(schema.AnswerPartSchema, { ref, sequence, content });
    receive(fixture, from, { case: 'part', value });
  });
}

/** Makes an agent confirm that an attempt was not run. */
export function reportNotRun(
  fixture: Fixture,
  from: string,
  requestId: string,
  code = schema.ResultCode.QUEUE_FULL,
): void {
  const value = schema.create(schema.NotRunSchema, { ref: buildRef(requestId), code });
  receive(fixture, from, { case: 'notRun', value });
}
