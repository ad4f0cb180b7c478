/**
 * Specification of the key protocol: how one key's work is dispatched at most
 * once, and what its callers may be told. Pure data and pure functions; the
 * model check explores every interleaving within its bounds.
 *
 * The world: two calls with the same key, the second a resend through another
 * entry; two agents, either of which may run the work; agent A is the key's
 * home under document version 1, agents A then B under version 2.
 *
 * The network: a set of messages that only grows. Delivering one does not take
 * it out, so loss (never delivered), doubling and any lateness are all covered.
 * A paused or killed entry is one whose next step comes late or never. A
 * restarted agent forgets everything and begins a new life.
 */

import * as model from './world.js';

/** Lists a key's homes at a document version, the oldest first. */
export function listHomes(version: number, safeguards: model.Safeguards): model.AgentId[] {
  if (version === 1) {
    return ['A'];
  }
  return safeguards.olderHomes ? ['A', 'B'] : ['B'];
}

/** Adds a message to the network, unless it is there already. */
function send(world: model.World, message: model.Message): void {
  const text = model.formatMessage(message);
  if (!world.network.some((other) => model.formatMessage(other) === text)) {
    world.network.push(message);
  }
}

/** Builds the id of the claim that a call makes at this point. */
function formatClaimId(index: number, call: model.Call): string {
  return [index, call.phase, call.attempt, call.homeIndex, call.dead.length].join(':');
}

/** Sends the claim that a call makes at its present home. */
function sendClaim(world: model.World, index: number): void {
  const call = world.calls[index];
  send(world, {
    kind: 'claim',
    id: formatClaimId(index, call),
    call: index,
    home: call.homes[call.homeIndex],
    held: call.phase === 'closing' ? null : call.held,
    dead: call.dead,
  });
}

/** Tells a caller the final answer of its call. */
function tell(world: model.World, index: number, told: model.Told): void {
  const call = world.calls[index];
  call.phase = 'ended';
  call.told = told;
  call.held = null;
}

/** Begins a new attempt on an agent; it is claimed before it is offered. */
export function beginAttempt(world: model.World, index: number, agent: model.AgentId): void {
  const call = world.calls[index];
  call.attempt += 1;
  world.attemptsLeft[index] -= 1;
  call.held = { ref: `${index}.${call.attempt}`, agent, life: world.agents[agent].life };
  call.phase = 'claiming';
  call.homeIndex = 0;
  sendClaim(world, index);
}

/** Gives a call up: closes the key, so that "not run" will be true. */
export function giveUp(world: model.World, index: number, safeguards: model.Safeguards): void {
  const call = world.calls[index];
  call.covers = world.calls.flatMap((other, one) => (other.phase === 'idle' ? [] : [one]));
  call.held = null;
  if (!safeguards.closeBeforeNotRun) {
    tell(world, index, 'notRun');
    return;
  }
  call.phase = 'closing';
  call.homeIndex = 0;
  sendClaim(world, index);
}

/** Takes in a call; the entry's document version gives the key's homes. */
export function receiveCall(
  world: model.World,
  index: number,
  version: number,
  safeguards: model.Safeguards,
): void {
  const call = world.calls[index];
  call.phase = 'placing';
  call.homes = listHomes(version, safeguards);
  call.closedBefore = model.AGENT_IDS.flatMap((id) => {
    const { binding } = world.agents[id];
    return binding?.kind === 'closed' ? [binding.id] : [];
  });
}

/** Decides on a claim at a home. */
function resolveClaim(
  world: model.World,
  claim: Extract<model.Message, { kind: 'claim' }>,
  safeguards: model.Safeguards,
): model.ClaimOutcome {
  const home = world.agents[claim.home];
  const { binding } = home;
  if (binding === null && home.life > 1 && safeguards.restartedHomeAbstains) {
    return { kind: 'undecided' };
  }
  const own = binding?.kind === 'bound' && binding.ref === claim.held?.ref;
  if (binding?.kind === 'bound' && !own && !claim.dead.includes(binding.ref)) {
    const { ref, agent, life } = binding;
    return { kind: 'bound', held: { ref, agent, life } };
  }
  const { closedBefore } = world.calls[claim.call];
  const barred = binding?.kind === 'closed' && !closedBefore.includes(binding.id);
  if (barred && safeguards.closeBindsEarlierCalls) {
    return { kind: 'closed' };
  }
  home.binding =
    claim.held === null ? { kind: 'closed', id: claim.id } : { kind: 'bound', ...claim.held };
  return { kind: 'granted' };
}

/** Waits for an attempt, its own or another call's. */
function hold(world: model.World, index: number, held: model.Held, kind: 'offer' | 'resume'): void {
  const call = world.calls[index];
  call.phase = 'held';
  call.held = held;
  send(world, { kind, held });
}

/** Goes on after a home has granted, or has closed. */
function advanceCall(world: model.World, index: number): void {
  const call = world.calls[index];
  call.homeIndex += 1;
  if (call.homeIndex < call.homes.length) {
    sendClaim(world, index);
    return;
  }
  if (call.phase === 'closing') {
    tell(world, index, 'notRun');
  } else if (call.held !== null) {
    hold(world, index, call.held, 'offer');
  }
}

/** Applies a home's reply to the call that asked. */
function takeReply(world: model.World, reply: Extract<model.Message, { kind: 'reply' }>): void {
  const call = world.calls[reply.call];
  if (reply.id !== formatClaimId(reply.call, call)) {
    return;
  }
  switch (reply.outcome.kind) {
    case 'granted':
      advanceCall(world, reply.call);
      return;
    case 'closed':
      // Closed here by another call. The homes after this one may not be.
      if (call.phase === 'claiming') {
        call.covers = world.calls.flatMap((other, one) => (other.phase === 'idle' ? [] : [one]));
      }
      call.phase = 'closing';
      call.held = null;
      advanceCall(world, reply.call);
      return;
    case 'bound':
      hold(world, reply.call, reply.outcome.held, 'resume');
      return;
    default:
      tell(world, reply.call, 'mayHaveRun');
  }
}

/** Applies an offer or a resumption at the agent it names. */
function takeAtAgent(
  world: model.World,
  message: Extract<model.Message, { kind: 'offer' | 'resume' }>,
  safeguards: model.Safeguards,
): void {
  const { ref, agent: id, life } = message.held;
  const agent = world.agents[id];
  if (safeguards.lifeChecks && life !== agent.life) {
    send(world, { kind: 'word', ref, word: 'otherLife' });
    return;
  }
  const known = agent.records[ref];
  if (message.kind === 'offer') {
    const startsAgain = !safeguards.offerRecords && known === 'started';
    agent.records[ref] = known === undefined || startsAgain ? 'queued' : known;
  } else if (known === undefined && safeguards.tombstones) {
    agent.records[ref] = 'notRun';
  }
  const isUnknown = message.kind === 'resume' && known === undefined;
  if (isUnknown || agent.records[ref] === 'notRun') {
    send(world, { kind: 'word', ref, word: 'notRun' });
  }
}

/** Applies an agent's word to one call that waits for that attempt. */
function takeWord(
  world: model.World,
  index: number,
  message: Extract<model.Message, { kind: 'word' }>,
): void {
  const call = world.calls[index];
  if (call.phase !== 'held' || call.held?.ref !== message.ref) {
    return;
  }
  switch (message.word) {
    case 'done':
      tell(world, index, 'completed');
      return;
    case 'otherLife':
      tell(world, index, 'mayHaveRun');
      return;
    default:
      call.dead = [...call.dead, message.ref];
      call.held = null;
      call.phase = 'placing';
  }
}

/**
 * Tells whether delivering a message could still change anything. The check
 * leaves out those that cannot: replies to a claim that its call is past, and
 * words about attempts that no call can wait for any more.
 */
export function isAlive(world: model.World, message: model.Message): boolean {
  if (message.kind === 'reply') {
    const call = world.calls[message.call];
    return message.id === formatClaimId(message.call, call);
  }
  return message.kind !== 'word' || world.calls.some((call) => call.phase !== 'ended');
}

/** Delivers one message. */
export function deliver(
  world: model.World,
  message: model.Message,
  safeguards: model.Safeguards,
): void {
  switch (message.kind) {
    case 'claim': {
      const outcome = resolveClaim(world, message, safeguards);
      send(world, { kind: 'reply', id: message.id, call: message.call, outcome });
      return;
    }
    case 'reply':
      takeReply(world, message);
      return;
    case 'word':
      world.calls.forEach((call, index) => takeWord(world, index, message));
      return;
    default:
      takeAtAgent(world, message, safeguards);
  }
}

/** Starts a queued attempt on the engine and ends it. */
export function start(world: model.World, id: model.AgentId, ref: model.Ref): void {
  world.agents[id].records[ref] = 'started';
  world.starts.push(ref);
  send(world, { kind: 'word', ref, word: 'done' });
}

/** Refuses a queued attempt. */
export function refuse(world: model.World, id: model.AgentId, ref: model.Ref): void {
  world.agents[id].records[ref] = 'notRun';
  send(world, { kind: 'word', ref, word: 'notRun' });
}

/** Restarts an agent: everything it held is forgotten. */
export function restart(world: model.World, id: model.AgentId): void {
  world.restartsLeft -= 1;
  world.agents[id] = { life: world.agents[id].life + 1, binding: null, records: {} };
}

/** Ends a call whose time is up while it waits for somebody's word. */
export function expire(world: model.World, index: number, safeguards: model.Safeguards): void {
  tell(world, index, safeguards.silenceIsUnknown ? 'mayHaveRun' : 'notRun');
  world.calls[index].covers = world.calls.flatMap((other, one) =>
    other.phase === 'idle' ? [] : [one],
  );
}
