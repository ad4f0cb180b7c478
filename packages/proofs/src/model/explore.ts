/** Model checker: explores a specification exhaustively with `getAdjacencyMap` of `xstate/graph`. */
import * as crypto from 'node:crypto';
import * as xstate from 'xstate';
import * as graph from 'xstate/graph';

/** A state machine over worlds of plain data, with the properties that must hold in each. */
export type Specification<World, Step extends { type: string }> = {
  initial: World;
  listSteps: (world: World) => Step[];
  /** Returns a new world; doesn't modify the old one. */
  applyStep: (world: World, step: Step) => World;
  /** Returns the names of the properties that a world violates. */
  findBroken: (world: World) => string[];
  /** Formats a world as text; two worlds have the same text if and only if they are equal. */
  formatWorld: (world: World) => string;
};

export type Exploration<Step> = {
  states: number;
  /** The first violated properties, with the steps that lead there; undefined if all hold. */
  broken: { properties: string[]; steps: Step[] } | undefined;
};

type Origin<World, Step> = { step: Step; before: World };

/** Computes the key of a world from its text. */
function hashWorld(text: string): string {
  // Digests keep the explorer's map small; accidental SHA-1 collisions are negligible.
  return crypto.createHash('sha1').update(text).digest('base64');
}

/** Lists the steps from the initial world to a world. */
function listTrace<World, Step>(origins: Map<World, Origin<World, Step>>, world: World): Step[] {
  const steps: Step[] = [];
  let origin = origins.get(world);
  while (origin !== undefined) {
    steps.unshift(origin.step);
    origin = origins.get(origin.before);
  }
  return steps;
}

/** Explores every reachable world; stops at the first that violates a property. */
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
  // The explorer stores every edge it is given. Edges to worlds it has already seen make
  // no new world reachable, so they are dropped to save memory.
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
