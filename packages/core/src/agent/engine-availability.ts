/** Takes the engine out of use and back. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as refusals from './refusals.js';
import * as runs from './runs.js';

type Effects = agentEvent.AgentEffect[];

/**
 * Takes what a probe or an attempt said of the engine.
 *
 * With the engine down, what has not started is refused at once, so that
 * entries place it elsewhere in place of waiting for a restart.
 */
export function setAvailable(
  state: agentState.AgentState,
  available: boolean,
  now: number,
): Effects {
  const changed = state.engineAvailable !== available;
  state.engineAvailable = available;
  const line = changed ? [effect.logDecision('engine', { available })] : [];
  return available
    ? [...line, ...runs.startQueued(state, now)]
    : [...line, ...refusals.refuseAll(state, schema.ResultCode.NO_BACKEND_SERVER, now)];
}
