/** Properties of the key protocol that must hold in every reachable world. */
import * as model from './world.js';

export type Property = {
  name: string;
  holds: (world: model.World) => boolean;
};

/** Returns the index of the call that an attempt belongs to. */
function getCallIndex(ref: string): number {
  return Number(ref.split('.')[0]);
}

/** Whether the result "not run", if a call got it, is true of every call that it covers. */
function isNotRunTrue(world: model.World, call: model.Call): boolean {
  return (
    call.result !== 'notRun' || !world.starts.some((ref) => call.covers.includes(getCallIndex(ref)))
  );
}

/** Whether the result "completed", if a call got it, comes from a run. */
function isCompletedTrue(world: model.World, call: model.Call): boolean {
  return call.result !== 'completed' || world.starts.length > 0;
}

export const PROPERTIES: readonly Property[] = [
  { name: 'dispatched at most once', holds: (world) => world.starts.length <= 1 },
  {
    name: 'reported not run implies never run',
    holds: (world) => world.calls.every((call) => isNotRunTrue(world, call)),
  },
  {
    name: 'reported completed implies run',
    holds: (world) => world.calls.every((call) => isCompletedTrue(world, call)),
  },
];

/** Returns the names of the properties that a world violates. */
export function findBroken(world: model.World): string[] {
  return PROPERTIES.filter((property) => !property.holds(world)).map((property) => property.name);
}
