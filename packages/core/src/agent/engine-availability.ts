/** Tracks whether the engine is available. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as refusals from './refusals.js';
import * as runs from './runs.js';

type Effects = agentEvent.AgentEffect[];

/**
 * Applies what a probe or an attempt found out about the engine.
 *
 * While the engine is down, everything that has not started is refused at once,
 * so that entries place it on another backend server instead of waiting for a
 * restart.
 */
export function setAvailable(
  state: agentState.AgentState,
  available: boolean,
  now: number,
): Effects {
  const changed = state.engineAvailable !== available;
  state.engineAvailable = available;
  const logEffects = changed ? [effect.logDecision('engine', { available })] : [];
  return available
    ? [...logEffects, ...runs.startQueued(state, now)]
    : [...logEffects, ...refusals.refuseAll(state, schema.ResultCode.NO_BACKEND_SERVER, now)];
}
