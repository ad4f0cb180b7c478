/**
 * Checks that the code conforms to the specification of the key protocol: takes random walks
 * through the specification and also hands every message that reaches an agent to the real
 * agent core. Both must decide claims alike, start the same attempts and report the same
 * statuses.
 */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as randomSource from '../mocks/random-source.js';
import * as exampleDocument from '../mocks/example-document.js';
import * as virtualPlatform from '../mocks/virtual-platform.js';
import * as keyProtocol from './key-protocol.js';
import * as keyProtocolSteps from './key-protocol-steps.js';
import * as model from './world.js';

/** A difference between specification and code, with the step that shows it. */
export type Difference = { step: keyProtocolSteps.Step; expected: string; actual: string };

const SERVICE = 'brimwit';
const WORKSPACE = 'brim';
const KEY = 'the key';
const START_MS = 1_700_000_000_000;
/** Longer than the clock skew, so that timestamps have the same order as steps. */
const STEP_MS = 20;
const TIMING = { clockSkewMs: 1, keyWindowMs: 600_000, maxDeadlineMs: 300_000 };
/** The key is issued in the agents' first incarnations, so later ones can't decide on it. */
const KEY_ISSUED_MS = START_MS + STEP_MS;
const LINK_ID = 1;

type Run = {
  world: model.World;
  agents: Record<model.AgentId, core.AgentState>;
  arrivedMs: number[];
  nowMs: number;
  starts: string[];
};

/** Creates an incarnation of a real agent with a link and a document. */
function createAgent(id: model.AgentId, life: number, now: number): core.AgentState {
  const identity = { backendServerId: id, service: SERVICE, life: String(life) };
  const state = core.createAgentState(identity, now);
  const servers = model.AGENT_IDS.map((one, index) => ({
    id: one,
    address: `10.0.0.${index + 1}:7000`,
  }));
  const document = exampleDocument.buildDocument(SERVICE, 2, servers, { timing: TIMING });
  const stored = virtualPlatform.readDocument(JSON.stringify(document));
  core.handleAgentEvent(state, { kind: 'documentRead', stored }, now);
  core.handleAgentEvent(state, { kind: 'linkOpened', linkId: LINK_ID }, now);
  return state;
}

/** Converts an attempt reference of the specification to the code's. */
function buildRef(ref: model.Ref): schema.AttemptRef {
  const [call, attempt] = ref.split('.');
  return core.buildRef(`call-${call}`, Number(attempt));
}

/** Converts an attempt reference of the code to the specification's. */
function formatRef(ref: schema.AttemptRef | undefined): model.Ref {
  return ref === undefined ? '' : `${ref.requestId.replace('call-', '')}.${ref.attempt}`;
}

/** Returns the arrival time of the call that an attempt belongs to. */
function getIssuedMs(run: Run, ref: model.Ref): number {
  return run.arrivedMs[Number(ref.split('.')[0])];
}

/** Converts a claim. */
function buildClaim(run: Run, claim: Extract<model.Message, { kind: 'claim' }>) {
  const { held } = claim;
  const value = schema.create(schema.ClaimSchema, {
    claimId: claim.id,
    workspace: WORKSPACE,
    key: KEY,
    keyIssuedMs: KEY_ISSUED_MS,
    contentDigest: 'content',
    ref: buildRef(held?.ref ?? `${claim.call}.0`),
    backendServerId: held?.agent ?? '',
    agentLife: held === null ? '' : String(held.life),
    replaces: claim.confirmedNotRun.map(buildRef),
    close: held === null,
    arrivedMs: run.arrivedMs[claim.call],
    documentVersion: 2,
  });
  return { case: 'claim', value } as const;
}

/** Converts an offer. */
function buildOffer(run: Run, held: model.Held) {
  const issuedMs = getIssuedMs(run, held.ref);
  const value = schema.create(schema.OfferSchema, {
    ref: buildRef(held.ref),
    agentLife: String(held.life),
    workspace: WORKSPACE,
    issuedMs,
    deadlineMs: issuedMs + TIMING.maxDeadlineMs,
  });
  return { case: 'offer', value } as const;
}

/** Converts a resumption. */
function buildResume(run: Run, held: model.Held) {
  const value = schema.create(schema.ResumeSchema, {
    ref: buildRef(held.ref),
    agentLife: String(held.life),
    workspace: WORKSPACE,
    issuedMs: getIssuedMs(run, held.ref),
  });
  return { case: 'resume', value } as const;
}

/** Hands a message to a real agent; every run that it starts completes at once. */
function sendToAgent(
  run: Run,
  id: model.AgentId,
  body: schema.EntryMessage['body'],
): schema.AgentMessage['body'][] {
  const message = schema.create(schema.EntryMessageSchema, { body });
  const event = { kind: 'entryMessage', linkId: LINK_ID, message } as const;
  const effects = core.handleAgentEvent(run.agents[id], event, run.nowMs);
  effects.forEach((effect) => {
    if (effect.kind === 'startOnEngine') {
      run.starts.push(formatRef(effect.offer.ref));
      const { refKey } = effect;
      core.handleAgentEvent(run.agents[id], { kind: 'engineEnd', refKey }, run.nowMs);
    }
  });
  return effects.flatMap((effect) => (effect.kind === 'sendToEntry' ? [effect.message.body] : []));
}

const OUTCOMES: Partial<Record<schema.ClaimOutcome, string>> = {
  [schema.ClaimOutcome.GRANTED]: 'granted',
  [schema.ClaimOutcome.CLOSED]: 'closed',
  [schema.ClaimOutcome.UNDECIDED]: 'undecided',
};

/** Describes the replies of a real agent in the terms of the specification. */
function describeReplies(replies: readonly schema.AgentMessage['body'][]): string {
  const words = replies.flatMap((body) => {
    switch (body.case) {
      case 'claimReply': {
        const { outcome, ref, backendServerId, agentLife } = body.value;
        return [OUTCOMES[outcome] ?? `bound ${formatRef(ref)} ${backendServerId} ${agentLife}`];
      }
      case 'notRun':
        return ['notRun'];
      case 'failed':
        return ['otherLife'];
      default:
        return [];
    }
  });
  return words.join();
}

/** Describes the reply that the specification expects of an agent. */
function describeExpected(
  world: model.World,
  message: model.Message,
  safeguards: model.Safeguards,
): string {
  // The network is emptied so that the reply to an earlier copy of the message isn't found.
  const copy = { ...structuredClone(world), network: [] as model.Message[] };
  keyProtocol.deliver(copy, message, safeguards);
  const [reply] = copy.network;
  if (reply?.kind === 'attemptStatus') {
    return reply.status;
  }
  if (reply?.kind === 'reply') {
    const { outcome } = reply;
    return outcome.kind === 'bound'
      ? `bound ${outcome.held.ref} ${outcome.held.agent} ${outcome.held.life}`
      : outcome.kind;
  }
  return '';
}

/** Hands a delivered message to the real agent that receives it. */
function applyDelivery(run: Run, message: model.Message): string | undefined {
  switch (message.kind) {
    case 'claim':
      return describeReplies(sendToAgent(run, message.home, buildClaim(run, message)));
    case 'offer':
      return describeReplies(sendToAgent(run, message.held.agent, buildOffer(run, message.held)));
    case 'resume':
      return describeReplies(sendToAgent(run, message.held.agent, buildResume(run, message.held)));
    default:
      return undefined;
  }
}

/** Applies a step to both sides; a queued offer starts at once, as on an idle agent. */
function applyBoth(
  run: Run,
  step: keyProtocolSteps.Step,
  safeguards: model.Safeguards,
): Difference | undefined {
  run.nowMs += STEP_MS;
  const before = run.world;
  run.world = keyProtocolSteps.applyStep(run.world, step, safeguards);
  if (step.type === 'arrive') {
    run.arrivedMs[step.call] = run.nowMs;
  }
  if (step.type === 'restart') {
    run.agents[step.agent] = createAgent(step.agent, run.world.agents[step.agent].life, run.nowMs);
  }
  if (step.type !== 'deliver') {
    return undefined;
  }
  const { message } = step;
  const isQueued =
    message.kind === 'offer' &&
    run.world.agents[message.held.agent].records[message.held.ref] === 'queued';
  if (isQueued) {
    const { agent, ref } = message.held;
    run.world = keyProtocolSteps.applyStep(run.world, { type: 'start', agent, ref }, safeguards);
  }
  const expected = `${describeExpected(before, message, safeguards)} ${run.world.starts.join()}`;
  const actual = `${applyDelivery(run, message) ?? ''} ${run.starts.join()}`;
  return expected === actual ? undefined : { step, expected, actual };
}

/** Takes a random walk; returns the first difference, or undefined if there is none. */
export function runWalk(
  seed: number,
  length: number,
  safeguards: model.Safeguards,
): Difference | undefined {
  const drawRandom = randomSource.createRandomSource(seed);
  const bounds = { restarts: 2, attempts: [2, 2], versions: [1, 2] };
  const run: Run = {
    world: model.createWorld(bounds.restarts, bounds.attempts),
    agents: { A: createAgent('A', 1, START_MS), B: createAgent('B', 1, START_MS) },
    arrivedMs: [0, 0],
    nowMs: KEY_ISSUED_MS,
    starts: [],
  };
  let difference: Difference | undefined;
  let left = length;
  while (left > 0 && difference === undefined) {
    left -= 1;
    const steps = keyProtocolSteps.listSteps(run.world, bounds);
    const allowed = steps.filter((step) => step.type !== 'refuse' && step.type !== 'expire');
    if (allowed.length === 0) {
      return undefined;
    }
    difference = applyBoth(run, randomSource.drawFrom(drawRandom, allowed), safeguards);
  }
  return difference;
}
