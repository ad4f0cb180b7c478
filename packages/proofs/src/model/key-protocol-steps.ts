/** The steps of the key protocol's specification, as events of the explorer. */
import * as keyProtocol from './key-protocol.js';
import * as model from './world.js';

export type Step =
  | { type: 'arrive'; call: number; version: number }
  | { type: 'attempt'; call: number; agent: model.AgentId }
  | { type: 'giveUp'; call: number }
  | { type: 'expire'; call: number }
  | { type: 'deliver'; message: model.Message }
  | { type: 'start'; agent: model.AgentId; ref: string }
  | { type: 'refuse'; agent: model.AgentId; ref: string }
  | { type: 'restart'; agent: model.AgentId };

/** Bounds on the exploration, so that it ends in reasonable time. */
export type Bounds = {
  restarts: number;
  /** Attempts that each call may begin. */
  attempts: number[];
  /** Document versions that an entry may hold when a call arrives. */
  versions: number[];
};

/** Lists the steps that one call may take next. */
function listCallSteps(world: model.World, index: number, bounds: Bounds): Step[] {
  const call = world.calls[index];
  const attemptsLeft = world.attemptsLeft[index];
  switch (call.phase) {
    case 'idle':
      return bounds.versions.map((version) => ({ type: 'arrive', call: index, version }));
    case 'placing': {
      const attempts =
        attemptsLeft > 0
          ? model.AGENT_IDS.map((agent): Step => ({ type: 'attempt', call: index, agent }))
          : [];
      return [...attempts, { type: 'giveUp', call: index }];
    }
    case 'ended':
      return [];
    default:
      return [{ type: 'expire', call: index }];
  }
}

/** Lists the steps that one agent may take next. */
function listAgentSteps(world: model.World, agent: model.AgentId): Step[] {
  const queued = Object.entries(world.agents[agent].records)
    .filter(([, status]) => status === 'queued')
    .flatMap(([ref]): Step[] => [
      { type: 'start', agent, ref },
      { type: 'refuse', agent, ref },
    ]);
  const restarts: Step[] = world.restartsLeft > 0 ? [{ type: 'restart', agent }] : [];
  return [...queued, ...restarts];
}

/** Lists every step that is possible in a world. */
export function listSteps(world: model.World, bounds: Bounds): Step[] {
  return [
    ...world.calls.flatMap((_call, index) => listCallSteps(world, index, bounds)),
    ...model.AGENT_IDS.flatMap((agent) => listAgentSteps(world, agent)),
    ...world.network.map((message): Step => ({ type: 'deliver', message })),
  ];
}

/** Copies a world. Messages and bindings are shared, as they are never modified. */
function copyWorld(world: model.World): model.World {
  const copyAgent = (agent: model.Agent) => ({ ...agent, records: { ...agent.records } });
  return {
    ...world,
    agents: { A: copyAgent(world.agents.A), B: copyAgent(world.agents.B) },
    calls: world.calls.map((call) => ({ ...call })),
    network: [...world.network],
    starts: [...world.starts],
    attemptsLeft: [...world.attemptsLeft],
  };
}

/** Applies one step to a copy of the world. */
export function applyStep(
  before: model.World,
  step: Step,
  safeguards: model.Safeguards,
): model.World {
  const world = copyWorld(before);
  updateWorld(world, step, safeguards);
  world.network = world.network.filter((message) => keyProtocol.isRelevant(world, message));
  return world;
}

/** Applies one step to a world in place. */
function updateWorld(world: model.World, step: Step, safeguards: model.Safeguards): void {
  switch (step.type) {
    case 'arrive':
      keyProtocol.receiveCall(world, step.call, step.version, safeguards);
      return;
    case 'attempt':
      keyProtocol.beginAttempt(world, step.call, step.agent);
      return;
    case 'giveUp':
      keyProtocol.giveUp(world, step.call, safeguards);
      return;
    case 'expire':
      keyProtocol.expire(world, step.call, safeguards);
      return;
    case 'deliver':
      keyProtocol.deliver(world, step.message, safeguards);
      return;
    case 'start':
      keyProtocol.start(world, step.agent, step.ref);
      return;
    case 'refuse':
      keyProtocol.refuse(world, step.agent, step.ref);
      return;
    default:
      keyProtocol.restart(world, step.agent);
  }
}
