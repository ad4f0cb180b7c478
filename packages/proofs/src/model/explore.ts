/** Explores a specification with the adjacency map of `xstate/graph`. */
import * as crypto from 'node:crypto';
import * as xstate from 'xstate';
import * as graph from 'xstate/graph';

/** A world of plain data, its steps, and what must hold in it. */
export type Specification<World, Step extends { type: string }> = {
  initial: World;
  listSteps: (world: World) => Step[];
  /** Gives a new world; the one before stays as it was. */
  applyStep: (world: World, step: Step) => World;
  /** Names the properties that a world breaks. */
  findBroken: (world: World) => string[];
  /** Writes a world as text: equal worlds, and only they, give equal text. */
  formatWorld: (world: World) => string;
};

export type Exploration<Step> = {
  states: number;
  /** Properties broken first, with the steps that lead there; undefined where none is. */
  broken: { properties: string[]; steps: Step[] } | undefined;
};

type Origin<World, Step> = { step: Step; before: World };

/** Hashes the text of a world. */
function hashWorld(text: string): string {
  // Digests keep the explorer's map small; SHA-1 does not collide by chance.
  return crypto.createHash('sha1').update(text).digest('base64');
}

/** Lists the steps that led to a world. */
function listTrace<World, Step>(origins: Map<World, Origin<World, Step>>, world: World): Step[] {
  const steps: Step[] = [];
  let origin = origins.get(world);
  while (origin !== undefined) {
    steps.unshift(origin.step);
    origin = origins.get(origin.before);
  }
  return steps;
}

/** Explores every reachable world; ends at the first that breaks a property. */
export function explore<World extends object, Step extends { type: string }>(
  specification: Specification<World, Step>,
): Exploration<Step> {
  const { initial, listSteps, findBroken, formatWorld } = specification;
  const results = new WeakMap<Step, World>();
  const apply = (world: World, step: Step): World =>
    results.get(step) ?? specification.applyStep(world, step);
  const logic = xstate.fromTransition(apply, initial);
  type WorldSnapshot = xstate.SnapshotFrom<typeof logic>;
  const origins = new Map<World, Origin<World, Step>>();
  const seen = new Set<string>();
  let broken: Exploration<Step>['broken'];

  const serializeState = (
    { context: world }: WorldSnapshot,
    step: Step | undefined,
    before?: WorldSnapshot,
  ) => {
    if (step !== undefined && before !== undefined && !origins.has(world)) {
      origins.set(world, { step, before: before.context });
    }
    return hashWorld(formatWorld(world));
  };
  const stopWhen = ({ context: world }: WorldSnapshot) => {
    const properties = findBroken(world);
    if (broken === undefined && properties.length > 0) {
      broken = { properties, steps: listTrace(origins, world) };
    }
    return broken !== undefined;
  };
  // The explorer keeps every edge it is given. Edges to worlds it knows already
  // add nothing to what is reachable.
  const filterEvents = ({ context: world }: WorldSnapshot, step: Step) => {
    const next = apply(world, step);
    const key = hashWorld(formatWorld(next));
    const isNew = !seen.has(key);
    seen.add(key);
    results.set(step, next);
    return isNew;
  };
  const map = graph.getAdjacencyMap(logic, {
    serializeState,
    stopWhen,
    filterEvents,
    events: ({ context: world }: WorldSnapshot) => listSteps(world),
  });
  return { states: Object.keys(map).length, broken };
}
