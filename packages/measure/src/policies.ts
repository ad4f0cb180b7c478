/** The ways of placing requests that are measured side by side. */
import * as core from '@toucanproxy/core';

export type NamedPolicy = {
  name: string;
  build: (drawRandom: () => number) => core.EntryPolicy;
};

export const POLICIES: readonly NamedPolicy[] = [
  { name: 'round robin', build: core.createRoundRobinPolicy },
  { name: 'better of two', build: core.createPowerOfTwoChoicesPolicy },
  { name: 'least outstanding', build: core.createLeastOutstandingPolicy },
  { name: 'late binding', build: core.createLateBindingPolicy },
];
