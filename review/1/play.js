/**
 * An entry from another writer stands among the runners' entries: the fields `version`, `slots`,
 * `coldRemainingMs` and `sequence` are missing, and its address is none.
 */
import * as url from 'node:url';
import * as configuration from '../stand-ins/configuration.js';
import * as deploymentStandIn from '../stand-ins/deployment.js';
import * as keptCallers from '../stand-ins/kept-callers.js';

const GATEWAYS = 2;
const RUNNERS = 4;
const CALLERS = 24;
const WORK_MS = 300;
/** So few that all slots are in use at times, and each entry gets requests. */
const SLOTS = 4;
/** Time before and after the entry is written; the first is longer than `stabilityMs`. */
const QUIET_MS = 5000;
const REST_MS = 5000;
/** A port has at most 65535. */
const ADDRESS = '127.0.0.1:80800';

/** Starts the runners and the gateways, and writes the entry in the midst of the traffic. */
async function runPlay(deployment, hasTrouble) {
  await Promise.all(
    Array.from({ length: RUNNERS }, (_, at) =>
      deployment.startRunner(`runner-${at + 1}`, { workMs: WORK_MS, slots: SLOTS }),
    ),
  );
  await deployment.startGateways();
  const callers = keptCallers.startKeptCallers(deployment, CALLERS, '/plain/x');
  await deploymentStandIn.waitMs(QUIET_MS);
  if (hasTrouble) {
    const entry = { service: 'one', address: ADDRESS, zone: 'zone-1', state: 'ready' };
    deployment.store.put('servers/other', entry);
    deployment.note({ kind: 'entry-of-another-writer', entry });
  }
  await deploymentStandIn.waitMs(REST_MS);
  await callers.stop();
  return keptCallers.findLost(deployment);
}

deploymentStandIn.runCase({
  recordFile: url.fileURLToPath(new URL('./record.txt', import.meta.url)),
  gateways: GATEWAYS,
  routes: [configuration.buildRoute('plain', 'unsafe', { timeoutMs: 4000, maxAttempts: 1 })],
  runPlay,
});
