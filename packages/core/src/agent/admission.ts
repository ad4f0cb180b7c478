/** Decides whether the start queue takes in an offer or a reservation. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as reachability from './reachability.js';
import * as refusals from './refusals.js';
import * as reservation from './reservation.js';
import * as runs from './runs.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** What an offer and a reservation have in common. */
export type Demand = {
  requestId: string;
  tierRank: number;
  workspace: string;
  estimatedTokens: number;
  deadlineMs: number;
};

export type Admission =
  | { kind: 'admitted'; effects: Effects }
  | { kind: 'refused'; effects: Effects; code: schema.ResultCode };

/** Says why nothing may be taken in now, or that this demand is too late. */
export function findRefusal(
  state: agentState.AgentState,
  demand: Demand,
  now: number,
): schema.ResultCode | undefined {
  if (state.leaving) {
    return schema.ResultCode.SHUTTING_DOWN;
  }
  if (!state.engineAvailable) {
    return schema.ResultCode.NO_BACKEND_SERVER;
  }
  return now >= demand.deadlineMs ? schema.ResultCode.DEADLINE_UNREACHABLE : undefined;
}

/** Tells whether the start queue has reached its bound. */
function isFull(state: agentState.AgentState): boolean {
  return startQueue.countQueued(state.queue) >= agentState.getLimits(state).maxQueued;
}

/** Finds a held place of the least urgent tier below `tierRank`. */
function findLessUrgentHold(
  state: agentState.AgentState,
  tierRank: number,
): reservation.Hold | undefined {
  return [...state.holds.values()]
    .filter((hold) => hold.tierRank > tierRank)
    .sort((a, b) => b.tierRank - a.tierRank)[0];
}

/** Makes room in a full queue at the cost of less urgent work. */
function evictLessUrgent(state: agentState.AgentState, tierRank: number, now: number): Effects {
  const item = startQueue.findEvictionCandidate(state.queue, tierRank);
  if (item !== undefined) {
    return refusals.refuseItem(state, item, schema.ResultCode.EVICTED, now);
  }
  const hold = findLessUrgentHold(state, tierRank);
  if (hold === undefined) {
    return [];
  }
  // The place goes to the head of the queue, which makes room behind it.
  return [
    ...refusals.refuseHold(state, hold, schema.ResultCode.EVICTED),
    ...runs.startQueued(state, now),
  ];
}

/** Asserts that nothing less urgent waits while a demand is refused for want of room. */
function assertNoneLessUrgent(state: agentState.AgentState, tierRank: number): Effects {
  const broken =
    startQueue.findEvictionCandidate(state.queue, tierRank) !== undefined ||
    findLessUrgentHold(state, tierRank) !== undefined;
  return broken
    ? [effect.observe({ kind: 'invariantBroken', name: 'shed-before-less-urgent' })]
    : [];
}

/** Takes a demand in, evicting less urgent work where the queue is full. */
export function admit(state: agentState.AgentState, demand: Demand, now: number): Admission {
  const refusal = findRefusal(state, demand, now);
  if (refusal !== undefined) {
    return { kind: 'refused', effects: [], code: refusal };
  }
  if (!reachability.isQueuedReachable(state, demand, now)) {
    return { kind: 'refused', effects: [], code: schema.ResultCode.DEADLINE_UNREACHABLE };
  }
  const effects: Effects = [];
  while (isFull(state)) {
    const evicted = evictLessUrgent(state, demand.tierRank, now);
    if (evicted.length === 0) {
      effects.push(...assertNoneLessUrgent(state, demand.tierRank));
      return { kind: 'refused', effects, code: schema.ResultCode.QUEUE_FULL };
    }
    effects.push(...evicted);
  }
  return { kind: 'admitted', effects };
}
