/** Prints which pairs of faults a test or a seed of the soak test plays. */
import * as faultPairs from './fault-pairs.js';

process.stdout.write(`${faultPairs.formatReport().join('\n')}\n`);
