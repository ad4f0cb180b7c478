import * as nodeTest from 'node:test';
import * as soakCase from './soak-case.js';

nodeTest.test('guarantees hold while a request ends servers, seed 7', () =>
  soakCase.expectNoViolations(7, { crashes: 16 }),
);
nodeTest.test('guarantees hold while gateways stop one after the other, seed 8', () =>
  soakCase.expectNoViolations(8, { stops: 1 }),
);
nodeTest.test('guarantees hold while a part of prompts ends servers, seed 7', () =>
  soakCase.expectNoViolations(7, { crashes: 16, parts: 1 }),
);

// Both guard against requests that end without a byte as a gateway closes its port.
nodeTest.test('requests at a planned stop are answered or refused, seed 13', () =>
  soakCase.expectNoViolations(13, { faults: 0, closings: 1 }),
);

nodeTest.test('requests at a planned stop are answered or refused, seed 15', () =>
  soakCase.expectNoViolations(15, { faults: 0, closings: 1 }),
);
