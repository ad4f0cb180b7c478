/** What must hold in every reachable world. */
import * as model from './world.js';

export type Property = {
  name: string;
  holds: (world: model.World) => boolean;
};

/** Gets the call that an attempt belongs to. */
function getOwner(ref: string): number {
  return Number(ref.split('.')[0]);
}

/** Tells whether a call told "not run" is true of every call it covers. */
function isTrulyNotRun(world: model.World, call: model.Call): boolean {
  return call.told !== 'notRun' || !world.starts.some((ref) => call.covers.includes(getOwner(ref)));
}

/** Checks that an answer was produced by a run. */
function isTrulyCompleted(world: model.World, call: model.Call): boolean {
  return call.told !== 'completed' || world.starts.length > 0;
}

export const PROPERTIES: readonly Property[] = [
  { name: 'dispatched at most once', holds: (world) => world.starts.length <= 1 },
  {
    name: 'told not run implies never run',
    holds: (world) => world.calls.every((call) => isTrulyNotRun(world, call)),
  },
  {
    name: 'told completed implies run',
    holds: (world) => world.calls.every((call) => isTrulyCompleted(world, call)),
  },
];

/** Finds the properties that a world breaks. */
export function findBroken(world: model.World): string[] {
  return PROPERTIES.filter((property) => !property.holds(world)).map((property) => property.name);
}
