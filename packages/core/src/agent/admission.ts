/** Admission control of the start queue: decides whether an offer or a reservation is queued. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as deadlineFeasibility from './deadline-feasibility.js';
import * as refusals from './refusals.js';
import * as reservation from './reservation.js';
import * as runs from './runs.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** The fields of an offer or a reservation that admission looks at. */
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

/**
 * Returns the code for which this agent refuses a demand without looking at its queue: it shuts
 * down, its engine is unavailable, or the deadline has passed. Undefined where none applies.
 */
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

/** Whether the start queue has reached its limit. */
function isFull(state: agentState.AgentState): boolean {
  return startQueue.countQueued(state.queue) >= agentState.getLimits(state).maxQueued;
}

/** Finds a held slot of the least urgent tier among those less urgent than `tierRank`. */
function findLessUrgentHold(
  state: agentState.AgentState,
  tierRank: number,
): reservation.Hold | undefined {
  return [...state.holds.values()]
    .filter((hold) => hold.tierRank > tierRank)
    .sort((a, b) => b.tierRank - a.tierRank)[0];
}

/** Evicts one less urgent item to make room in a full queue; no effects where there is none. */
function evictLessUrgent(state: agentState.AgentState, tierRank: number, now: number): Effects {
  const item = startQueue.findEvictionCandidate(state.queue, tierRank);
  if (item !== undefined) {
    return refusals.refuseItem(state, item, schema.ResultCode.EVICTED, now);
  }
  const hold = findLessUrgentHold(state, tierRank);
  if (hold === undefined) {
    return [];
  }
  // The freed slot goes to the head of the queue, which shortens the queue by one.
  return [
    ...refusals.refuseHold(state, hold, schema.ResultCode.EVICTED),
    ...runs.startQueued(state, now),
  ];
}

/** Reports a broken invariant where a demand is shed before less urgent work. */
function assertNoneLessUrgent(state: agentState.AgentState, tierRank: number): Effects {
  const broken =
    startQueue.findEvictionCandidate(state.queue, tierRank) !== undefined ||
    findLessUrgentHold(state, tierRank) !== undefined;
  return broken
    ? [effect.observe({ kind: 'invariantBroken', name: 'shed-before-less-urgent' })]
    : [];
}

/** Admits or refuses a demand; where the queue is full, less urgent work is evicted first. */
export function admit(state: agentState.AgentState, demand: Demand, now: number): Admission {
  const refusal = findRefusal(state, demand, now);
  if (refusal !== undefined) {
    return { kind: 'refused', effects: [], code: refusal };
  }
  if (!deadlineFeasibility.isQueuedFeasible(state, demand, now)) {
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
