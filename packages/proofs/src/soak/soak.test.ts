import * as nodeTest from 'node:test';
import * as soakCase from './soak-case.js';

nodeTest.test('guarantees hold under faults from outside, seed 1', () =>
  soakCase.expectNoViolations(1, {}),
);
nodeTest.test('guarantees hold under faults from outside, seed 2', () =>
  soakCase.expectNoViolations(2, {}),
);
nodeTest.test('guarantees hold while domains are evacuated, seed 3', () =>
  soakCase.expectNoViolations(3, { evacuations: 2 }),
);
nodeTest.test('guarantees hold while servers announce rate limits, seed 4', () =>
  soakCase.expectNoViolations(4, { limits: 1 }),
);
nodeTest.test('guarantees hold while the store is restored, seed 5', () =>
  soakCase.expectNoViolations(5, { evacuations: 1, epochs: 1 }),
);
nodeTest.test('guarantees hold while servers leave and ask for a backoff, seed 6', () =>
  soakCase.expectNoViolations(6, { statements: 2 }),
);
nodeTest.test('guarantees hold while streams have no length, seed 2', () =>
  soakCase.expectNoViolations(2, { unframedShare: 0.3 }),
);
nodeTest.test('guarantees hold while gateways read input that means nothing, seed 9', () =>
  soakCase.expectNoViolations(9, { oddInputs: 40 }),
);
nodeTest.test('guarantees hold while servers respond twice, seed 2', () =>
  soakCase.expectNoViolations(2, { unframedShare: 0.3, extraShare: 0.3 }),
);
