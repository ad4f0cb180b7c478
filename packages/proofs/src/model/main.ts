/** Explores the key protocol within wide bounds: `npm run model`. Takes minutes. */
import * as explore from './explore.js';
import * as keySpecification from './key-specification.js';
import * as model from './world.js';

const BOUNDS = [
  { restarts: 0, attempts: [1, 1], versions: [1] },
  { restarts: 0, attempts: [2, 1], versions: [1] },
  { restarts: 0, attempts: [1, 1], versions: [1, 2] },
  { restarts: 1, attempts: [1, 1], versions: [1] },
];

/** Prints one line. */
function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Explores within one set of bounds with every safeguard enabled; true if all properties hold. */
function run(bounds: (typeof BOUNDS)[number]): boolean {
  const { states, broken } = explore.explore(
    keySpecification.buildKeySpecification(model.ALL_SAFEGUARDS, bounds),
  );
  const verdict = broken === undefined ? 'holds' : `broken: ${broken.properties.join(', ')}`;
  print(`${JSON.stringify(bounds)} states ${states} ${verdict}`);
  broken?.steps.forEach((step) => print(`  ${JSON.stringify(step)}`));
  return broken === undefined;
}

const held = BOUNDS.map(run);
process.exitCode = held.every(Boolean) ? 0 : 1;
