/** Clients ask for generations that are larger than the memory of any runner. */
import * as url from 'node:url';
import * as caller from '../stand-ins/caller.js';
import * as configuration from '../stand-ins/configuration.js';
import * as deploymentStandIn from '../stand-ins/deployment.js';
import * as keptCallers from '../stand-ins/kept-callers.js';

const GATEWAYS = 3;
/** A request is offered to four of them at most. */
const RUNNERS = 8;
const CALLERS = 36;
/** Long enough that requests run when a gateway ends, up to half a second after the large one. */
const WORK_MS = 1500;
/** Time before and after the large requests; the first is longer than `stabilityMs`. */
const QUIET_MS = 5000;
const REST_MS = 5000;
const LARGE_EACH_MS = 1000;
const DEADLINE_MS = 15_000;
/** Memory of a runner in `ql-lima`, tokens. */
const KV_CAPACITY = 637_876;
/** Prompt tokens, and the most output tokens: 2^31 - 1, for a client that wants no limit. */
const LARGE_USAGE = '700,2147483647';
/** Larger than the memory too; it is rejected as the pages say. */
const CONTROL_USAGE = '700,999999';

/** Sends one large request to each gateway in turn. */
async function sendLarge(deployment, usage) {
  await Promise.all(
    deployment.gateways.map(async ({ ip, frontend, name }, at) => {
      await deploymentStandIn.waitMs(at * LARGE_EACH_MS);
      const result = await caller.sendRequest({
        host: ip,
        port: frontend,
        path: `/stream/large${at}`,
        attempt: `large${at}`,
        headers: { 'x-toucanproxy-token-usage': usage },
        deadlineMs: DEADLINE_MS,
      });
      deployment.note({ kind: 'large-answer', gateway: name, usage, ...result });
    }),
  );
}

/** Starts the runners and the gateways, and sends the large requests in the midst of the traffic. */
async function runPlay(deployment, hasTrouble) {
  await Promise.all(
    Array.from({ length: RUNNERS }, (_, at) =>
      deployment.startRunner(`runner-${at + 1}`, { workMs: WORK_MS, kvCapacity: KV_CAPACITY }),
    ),
  );
  await deployment.startGateways();
  const callers = keptCallers.startKeptCallers(deployment, CALLERS, '/plain/x');
  await deploymentStandIn.waitMs(QUIET_MS);
  await sendLarge(deployment, hasTrouble ? LARGE_USAGE : CONTROL_USAGE);
  await deploymentStandIn.waitMs(REST_MS);
  await callers.stop();
  return keptCallers.findLost(deployment);
}

deploymentStandIn.runCase({
  recordFile: url.fileURLToPath(new URL('./record.txt', import.meta.url)),
  gateways: GATEWAYS,
  routes: [
    configuration.buildRoute('plain', 'unsafe', { timeoutMs: 4000, maxAttempts: 1 }),
    configuration.buildRoute('stream', 'stream', { resumable: true, maxAttempts: 1 }),
  ],
  runPlay,
});
