/**
 * Specification of the idempotency key protocol: how the request of one key is dispatched at
 * most once, and which results its callers may get. It consists of pure data and pure
 * functions; the model checker explores every interleaving within its bounds.
 *
 * The world has two calls with the same key, the second a resend through another entry, and
 * two agents, either of which may run the request. The key's home is agent A under document
 * version 1, and agents A then B under version 2.
 *
 * The network is a set of messages that only grows. Delivering a message doesn't remove it,
 * which covers loss (never delivered), duplication and any delay. A paused or killed entry is
 * one whose next step comes late or never. A restarted agent loses its state and begins a new
 * incarnation, counted by `life`.
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

/** Builds the id of the claim that a call makes in its current phase. */
function formatClaimId(index: number, call: model.Call): string {
  return [index, call.phase, call.attempt, call.homeIndex, call.confirmedNotRun.length].join(':');
}

/** Sends a call's claim to its current home. */
function sendClaim(world: model.World, index: number): void {
  const call = world.calls[index];
  send(world, {
    kind: 'claim',
    id: formatClaimId(index, call),
    call: index,
    home: call.homes[call.homeIndex],
    held: call.phase === 'closing' ? null : call.held,
    confirmedNotRun: call.confirmedNotRun,
  });
}

/** Ends a call with the result that its caller gets. */
function endCall(world: model.World, index: number, result: model.Result): void {
  const call = world.calls[index];
  call.phase = 'ended';
  call.result = result;
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

/** Gives up a call; closes the key first, so that the result "not run" stays true. */
export function giveUp(world: model.World, index: number, safeguards: model.Safeguards): void {
  const call = world.calls[index];
  call.covers = world.calls.flatMap((other, one) => (other.phase === 'idle' ? [] : [one]));
  call.held = null;
  if (!safeguards.closeBeforeNotRun) {
    endCall(world, index, 'notRun');
    return;
  }
  call.phase = 'closing';
  call.homeIndex = 0;
  sendClaim(world, index);
}

/** Starts a call; the entry's document version determines the key's homes. */
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

/** Decides a claim at a home. */
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
  if (binding?.kind === 'bound' && !own && !claim.confirmedNotRun.includes(binding.ref)) {
    const { ref, agent, life } = binding;
    return { kind: 'bound', held: { ref, agent, life } };
  }
  const { closedBefore } = world.calls[claim.call];
  const isClosedSinceArrival = binding?.kind === 'closed' && !closedBefore.includes(binding.id);
  if (isClosedSinceArrival && safeguards.closeBindsEarlierCalls) {
    return { kind: 'closed' };
  }
  home.binding =
    claim.held === null ? { kind: 'closed', id: claim.id } : { kind: 'bound', ...claim.held };
  return { kind: 'granted' };
}

/** Makes a call wait for an attempt, its own or another call's. */
function hold(world: model.World, index: number, held: model.Held, kind: 'offer' | 'resume'): void {
  const call = world.calls[index];
  call.phase = 'held';
  call.held = held;
  send(world, { kind, held });
}

/** Moves a call to its next home after a home granted a claim or closed the key. */
function advanceCall(world: model.World, index: number): void {
  const call = world.calls[index];
  call.homeIndex += 1;
  if (call.homeIndex < call.homes.length) {
    sendClaim(world, index);
    return;
  }
  if (call.phase === 'closing') {
    endCall(world, index, 'notRun');
  } else if (call.held !== null) {
    hold(world, index, call.held, 'offer');
  }
}

/** Applies a home's reply to the call that asked. */
function applyReply(world: model.World, reply: Extract<model.Message, { kind: 'reply' }>): void {
  const call = world.calls[reply.call];
  if (reply.id !== formatClaimId(reply.call, call)) {
    return;
  }
  switch (reply.outcome.kind) {
    case 'granted':
      advanceCall(world, reply.call);
      return;
    case 'closed':
      // Another call closed the key at this home; it may still be open at later homes.
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
      endCall(world, reply.call, 'mayHaveRun');
  }
}

/** Delivers an offer or a resumption to the agent that it names. */
function applyAtAgent(
  world: model.World,
  message: Extract<model.Message, { kind: 'offer' | 'resume' }>,
  safeguards: model.Safeguards,
): void {
  const { ref, agent: id, life } = message.held;
  const agent = world.agents[id];
  if (safeguards.lifeChecks && life !== agent.life) {
    send(world, { kind: 'attemptStatus', ref, status: 'otherLife' });
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
    send(world, { kind: 'attemptStatus', ref, status: 'notRun' });
  }
}

/** Applies an agent's status of an attempt to a call, if the call waits for that attempt. */
function applyStatus(
  world: model.World,
  index: number,
  message: Extract<model.Message, { kind: 'attemptStatus' }>,
): void {
  const call = world.calls[index];
  if (call.phase !== 'held' || call.held?.ref !== message.ref) {
    return;
  }
  switch (message.status) {
    case 'done':
      endCall(world, index, 'completed');
      return;
    case 'otherLife':
      endCall(world, index, 'mayHaveRun');
      return;
    default:
      call.confirmedNotRun = [...call.confirmedNotRun, message.ref];
      call.held = null;
      call.phase = 'placing';
  }
}

/**
 * Whether delivering a message could still change the world. The exploration drops messages
 * that can't: replies to claims that a call no longer waits for, and attempt statuses once
 * every call has ended.
 */
export function isRelevant(world: model.World, message: model.Message): boolean {
  if (message.kind === 'reply') {
    const call = world.calls[message.call];
    return message.id === formatClaimId(message.call, call);
  }
  return message.kind !== 'attemptStatus' || world.calls.some((call) => call.phase !== 'ended');
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
      applyReply(world, message);
      return;
    case 'attemptStatus':
      world.calls.forEach((call, index) => applyStatus(world, index, message));
      return;
    default:
      applyAtAgent(world, message, safeguards);
  }
}

/** Starts a queued attempt on the engine and completes it. */
export function start(world: model.World, id: model.AgentId, ref: model.Ref): void {
  world.agents[id].records[ref] = 'started';
  world.starts.push(ref);
  send(world, { kind: 'attemptStatus', ref, status: 'done' });
}

/** Refuses a queued attempt. */
export function refuse(world: model.World, id: model.AgentId, ref: model.Ref): void {
  world.agents[id].records[ref] = 'notRun';
  send(world, { kind: 'attemptStatus', ref, status: 'notRun' });
}

/** Restarts an agent, which loses its state. */
export function restart(world: model.World, id: model.AgentId): void {
  world.restartsLeft -= 1;
  world.agents[id] = { life: world.agents[id].life + 1, binding: null, records: {} };
}

/** Ends a call whose deadline passes while it waits for a reply. */
export function expire(world: model.World, index: number, safeguards: model.Safeguards): void {
  endCall(world, index, safeguards.silenceIsUnknown ? 'mayHaveRun' : 'notRun');
  world.calls[index].covers = world.calls.flatMap((other, one) =>
    other.phase === 'idle' ? [] : [one],
  );
}
