/** Assembles the key protocol into a specification for the explorer. */
import * as explore from './explore.js';
import * as keyProtocolProperties from './key-protocol-properties.js';
import * as keyProtocolSteps from './key-protocol-steps.js';
import * as model from './world.js';

/** Formats a world as text that doesn't depend on the order in which messages were sent. */
function formatWorld(world: model.World): string {
  const network = world.network.map(model.formatMessage).sort();
  const { agents, calls, starts, restartsLeft } = world;
  return JSON.stringify([agents, calls, network, starts, restartsLeft]);
}

/** Builds the specification with the given safeguards enabled, within the bounds. */
export function buildKeySpecification(
  safeguards: model.Safeguards,
  bounds: keyProtocolSteps.Bounds,
): explore.Specification<model.World, keyProtocolSteps.Step> {
  return {
    initial: model.createWorld(bounds.restarts, bounds.attempts),
    listSteps: (world) => keyProtocolSteps.listSteps(world, bounds),
    applyStep: (world, step) => keyProtocolSteps.applyStep(world, step, safeguards),
    findBroken: keyProtocolProperties.findBroken,
    formatWorld,
  };
}
