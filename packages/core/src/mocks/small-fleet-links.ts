/** Applies events to the processes of a small fleet, delivers messages and advances time. */
import type * as schema from '@toucanproxy/schema';
import * as core from '../index.js';
import * as state from './small-fleet-state.js';

/** Applies an event to an entry. */
export function applyToEntry(
  fleet: state.SmallFleet,
  entryId: string,
  event: core.EntryEvent,
): void {
  const entry = fleet.entries.get(entryId);
  if (entry !== undefined) {
    core
      .handleEntryEvent(entry, event, fleet.now)
      .forEach((effect) => executeEntryEffect(fleet, entryId, effect));
  }
}

/** Applies an event to an agent. */
export function applyToAgent(
  fleet: state.SmallFleet,
  agentId: string,
  event: core.AgentEvent,
): void {
  const agent = fleet.agents.get(agentId);
  if (agent !== undefined) {
    core
      .handleAgentEvent(agent, event, fleet.now)
      .forEach((effect) => executeAgentEffect(fleet, agentId, effect));
  }
}

/** Returns the link number that agents use for an entry. */
function findLinkId(fleet: state.SmallFleet, entryId: string): number {
  return [...fleet.entries.keys()].indexOf(entryId);
}

/** Executes an effect of an entry. */
function executeEntryEffect(
  fleet: state.SmallFleet,
  entryId: string,
  effect: core.EntryEffect,
): void {
  switch (effect.kind) {
    case 'openLink': {
      const agentId = effect.backendServerId;
      if (fleet.agents.has(agentId) && !fleet.isPartitioned) {
        applyToEntry(fleet, entryId, { kind: 'linkOpened', backendServerId: agentId });
        applyToAgent(fleet, agentId, { kind: 'linkOpened', linkId: findLinkId(fleet, entryId) });
      }
      return;
    }
    case 'closeLink': {
      const linkId = findLinkId(fleet, entryId);
      if (!fleet.isPartitioned) {
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
      fleet.responses.set(effect.callerId, [
        ...(fleet.responses.get(effect.callerId) ?? []),
        effect,
      ]);
      return;
    case 'documentReceived':
      fleet.fetched.push(entryId);
      applyToEntry(fleet, entryId, {
        kind: 'documentRead',
        stored: state.parseStored(effect.json),
      });
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

/** Executes an effect of an agent. */
function executeAgentEffect(
  fleet: state.SmallFleet,
  agentId: string,
  effect: core.AgentEffect,
): void {
  if (effect.kind === 'startOnEngine') {
    fleet.dispatched.push({ agentId, refKey: effect.refKey });
  }
  if (effect.kind === 'documentReceived') {
    fleet.fetched.push(agentId);
    applyToAgent(fleet, agentId, { kind: 'documentRead', stored: state.parseStored(effect.json) });
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
function deliverMessage(fleet: state.SmallFleet, message: state.Message): void {
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

/** Delivers queued messages, except those that are held back, until the queue is empty. */
export function deliverMessages(fleet: state.SmallFleet): void {
  let message = fleet.queue.shift();
  while (message !== undefined) {
    if (fleet.isHeld(message)) {
      fleet.held.push(message);
    } else if (!fleet.isPartitioned) {
      deliverMessage(fleet, message);
    }
    message = fleet.queue.shift();
  }
}

/** Holds back messages of one kind to or from an entry. */
export function holdMessages(fleet: state.SmallFleet, entryId: string, kind: string): void {
  fleet.isHeld = (message) => message.entryId === entryId && message.body.body.case === kind;
}

/** Stops holding messages back and delivers those that were. */
export function releaseHeld(fleet: state.SmallFleet): void {
  fleet.isHeld = () => false;
  fleet.queue.push(...fleet.held.splice(0));
  deliverMessages(fleet);
}

/** Advances time in steps and ticks every process at each step. */
export function advanceTime(fleet: state.SmallFleet, ms: number, stepMs = 100): void {
  const end = fleet.now + ms;
  while (fleet.now < end) {
    fleet.now = Math.min(end, fleet.now + stepMs);
    fleet.entries.forEach((_, id) => applyToEntry(fleet, id, { kind: 'ticked' }));
    fleet.agents.forEach((_, id) => applyToAgent(fleet, id, { kind: 'ticked' }));
    deliverMessages(fleet);
  }
}
