/** Explores the specification with the adjacency map of `xstate/graph`. */
import * as crypto from 'node:crypto';
import * as xstate from 'xstate';
import * as graph from 'xstate/graph';

import * as keyProtocolProperties from './key-protocol-properties.js';
import * as keyProtocolSteps from './key-protocol-steps.js';
import * as model from './world.js';

export type Exploration = {
  states: number;
  /** Property broken first, with the steps that lead there; undefined where none is. */
  broken: { properties: string[]; steps: keyProtocolSteps.Step[] } | undefined;
};

type Origin = { step: keyProtocolSteps.Step; before: model.World };
type Logic = ReturnType<typeof buildLogic>;
type WorldSnapshot = xstate.SnapshotFrom<Logic>;

type Apply = (world: model.World, step: keyProtocolSteps.Step) => model.World;

/** Wraps the specification as the logic of an actor. */
function buildLogic(apply: Apply, bounds: keyProtocolSteps.Bounds) {
  return xstate.fromTransition(apply, model.makeWorld(bounds.restarts, bounds.attempts));
}

/** Hashes a world; equal worlds, and only they, give equal text. */
function hashWorld(world: model.World): string {
  const network = world.network.map(model.formatMessage).sort();
  const { agents, calls, starts, restartsLeft } = world;
  const text = JSON.stringify([agents, calls, network, starts, restartsLeft]);
  // Digests keep the explorer's map small; SHA-1 does not collide by chance.
  return crypto.createHash('sha1').update(text).digest('base64');
}

/** Lists the steps that led to a world. */
function listTrace(origins: Map<model.World, Origin>, world: model.World): keyProtocolSteps.Step[] {
  const steps: keyProtocolSteps.Step[] = [];
  let origin = origins.get(world);
  while (origin !== undefined) {
    steps.unshift(origin.step);
    origin = origins.get(origin.before);
  }
  return steps;
}

/** Explores every reachable world; ends at the first that breaks a property. */
export function explore(
  safeguards: model.Safeguards,
  bounds: keyProtocolSteps.Bounds,
): Exploration {
  const results = new WeakMap<keyProtocolSteps.Step, model.World>();
  const apply: Apply = (world, step) =>
    results.get(step) ?? keyProtocolSteps.applyStep(world, step, safeguards);
  const logic = buildLogic(apply, bounds);
  const origins = new Map<model.World, Origin>();
  const seen = new Set<string>();
  let broken: Exploration['broken'];

  const serializeState = (
    snapshot: WorldSnapshot,
    step: keyProtocolSteps.Step | undefined,
    before?: WorldSnapshot,
  ) => {
    const { context: world } = snapshot;
    if (step !== undefined && before !== undefined && !origins.has(world)) {
      origins.set(world, { step, before: before.context });
    }
    return hashWorld(world);
  };
  const stopWhen = ({ context: world }: WorldSnapshot) => {
    const properties = keyProtocolProperties.findBroken(world);
    if (broken === undefined && properties.length > 0) {
      broken = { properties, steps: listTrace(origins, world) };
    }
    return broken !== undefined;
  };
  // The explorer keeps every edge it is given. Edges to worlds it knows already
  // add nothing to what is reachable.
  const filterEvents = ({ context: world }: WorldSnapshot, step: keyProtocolSteps.Step) => {
    const next = apply(world, step);
    const key = hashWorld(next);
    results.set(step, next);
    const isNew = !seen.has(key);
    seen.add(key);
    return isNew;
  };
  const map = graph.getAdjacencyMap(logic, {
    serializeState,
    stopWhen,
    filterEvents,
    events: ({ context: world }: WorldSnapshot) => keyProtocolSteps.listSteps(world, bounds),
  });
  return { states: Object.keys(map).length, broken };
}
