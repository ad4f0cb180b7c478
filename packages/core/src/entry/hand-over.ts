/** Hands a request to the agent that was chosen for it. */
import * as attemptRef from '../shared/attempt-ref.js';
import * as accounts from './accounts.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';

type Effects = entryEvent.EntryEffect[];

/** Offers a request to one agent, under a new attempt number. */
export function offerTo(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  now: number,
): Effects {
  request.attempts += 1;
  request.status = entryState.RequestStatus.OFFERED;
  const target: entryState.Target = {
    backendServerId: agent.backendServerId,
    agentLife: agent.agentLife,
    ref: attemptRef.buildRef(request.requestId, request.attempts),
    nextSequence: 0,
    started: false,
    withdrawnMs: 0,
  };
  accounts.addTarget(request, agent, target);
  const body = entryMessages.buildOffer(request, target, now);
  return [entryMessages.sendToAgent(agent.backendServerId, body)];
}
