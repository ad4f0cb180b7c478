/** `npm run capacity`: the slopes that docs/CAPACITY.md is worked out from. */
import * as childProcess from 'node:child_process';
import * as daemonSlopes from './daemon-slopes.js';
import * as decisionSlopes from './decision-slopes.js';
import * as messageSizes from './message-sizes.js';
import * as processCost from './process-cost.js';
import * as stateSlopes from './state-slopes.js';

const MIB = 1024 * 1024;
const US_PER_MS = 1000;
const SETTLE_MS = 1000;

/** Prints one line. */
function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Measures the memory of a Node process that does nothing, bytes. */
async function measureBareNode(): Promise<number> {
  const child = childProcess.spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
  await new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });
  const bytes = processCost.readResidentBytes(child.pid ?? 0);
  child.kill('SIGKILL');
  return bytes;
}

/** Prints the slopes of the daemons, in units of the hash as well. */
function printDaemons(slopes: daemonSlopes.DaemonSlopes, unitUs: number): void {
  Object.keys(slopes.perRequest).forEach((role) => {
    const request = slopes.perRequest[role] * US_PER_MS;
    const token = slopes.perToken[role] * US_PER_MS;
    const ratios = `${(request / unitUs).toFixed(0)} and ${(token / unitUs).toFixed(1)} units`;
    print(
      `${role}: ${request.toFixed(0)} us a request, ${token.toFixed(1)} us a token (${ratios})`,
    );
    const rest = (slopes.restShare[role] * 100).toFixed(2);
    const beat = (slopes.perHeartbeat[role] * US_PER_MS).toFixed(0);
    print(`${role}: ${rest}% of a core at rest, ${beat} us for a heartbeat each way`);
    print(`${role}: ${(slopes.residentBytes[role] / MIB).toFixed(1)} MiB resident after the runs`);
  });
}

const unitUs = decisionSlopes.measureUnit();
print(`unit: SHA-256 of 1 KiB, ${unitUs.toFixed(2)} us here`);
print(`bare Node process: ${((await measureBareNode()) / MIB).toFixed(1)} MiB resident`);
stateSlopes
  .measureState()
  .forEach(({ name, bytesEach }) => print(`memory: ${name}: ${bytesEach.toFixed(0)} bytes`));
messageSizes
  .measureMessages()
  .forEach(({ name, bytes }) => print(`message: ${name}: ${bytes} bytes`));
decisionSlopes
  .measureDecisions(unitUs)
  .forEach(({ candidates, workspaces, ratio, us }) =>
    print(
      `decision: ${candidates} candidates, ${workspaces} workspaces: ${ratio.toFixed(1)} units (${us.toFixed(1)} us)`,
    ),
  );
printDaemons(await daemonSlopes.measureDaemons(), unitUs);
