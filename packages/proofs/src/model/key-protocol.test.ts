import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as explore from './explore.js';
import * as keyProtocolSteps from './key-protocol-steps.js';
import * as keySpecification from './key-specification.js';
import * as model from './world.js';

// Two calls with one key, through two entries, over a network that may lose, duplicate and
// delay any message. Each exploration is exhaustive within its bounds; `npm run model`
// explores wider ones.

const ONE_VERSION = { restarts: 0, attempts: [1, 1], versions: [1] };
const TWO_VERSIONS = { restarts: 0, attempts: [1, 0], versions: [1, 2] };
const RESTART = { restarts: 1, attempts: [1, 0], versions: [1] };

/** Asserts that an exploration finds no violation and visits this many states. */
function expectClean(bounds: keyProtocolSteps.Bounds, states: number): void {
  const exploration = explore.explore(
    keySpecification.buildKeySpecification(model.ALL_SAFEGUARDS, bounds),
  );
  assert.deepEqual(exploration.broken, undefined);
  assert.equal(exploration.states, states);
}

/** Asserts that exploring finds a violated property once a safeguard is disabled. */
function expectFault(safeguard: keyof model.Safeguards, property: string): void {
  const safeguards = { ...model.ALL_SAFEGUARDS, [safeguard]: false };
  const bounds = { restarts: 1, attempts: [1, 1], versions: [1, 2] };
  const exploration = explore.explore(keySpecification.buildKeySpecification(safeguards, bounds));
  assert.ok(exploration.broken?.properties.includes(property), JSON.stringify(exploration.broken));
}

nodeTest.test('model, one version', () => expectClean(ONE_VERSION, 18394));

nodeTest.test('model, two versions', () => expectClean(TWO_VERSIONS, 15893));

nodeTest.test('model, agent restart', () => expectClean(RESTART, 9609));

const NOT_RUN = 'reported not run implies never run';
const AT_MOST_ONCE = 'dispatched at most once';

nodeTest.test('model without life checks', () => expectFault('lifeChecks', AT_MOST_ONCE));

nodeTest.test('model without offer records', () => expectFault('offerRecords', AT_MOST_ONCE));

nodeTest.test('model without older homes', () => expectFault('olderHomes', NOT_RUN));

nodeTest.test('model that takes silence for not run', () =>
  expectFault('silenceIsUnknown', NOT_RUN),
);

nodeTest.test('model without a close', () => expectFault('closeBeforeNotRun', NOT_RUN));

nodeTest.test('model where a close binds nobody', () =>
  expectFault('closeBindsEarlierCalls', NOT_RUN),
);
