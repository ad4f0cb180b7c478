/**
 * Clients that send one request after the other over kept connections, and the check of the rule
 * LOST: a machine in touch passes a request from a kept connection on to a sound runner and closes
 * that connection without an answer, more than three times.
 */
import * as http from 'node:http';
import * as caller from './caller.js';
import * as deploymentStandIn from './deployment.js';

const MAX_LOST = 3;
const DEADLINE_MS = 4000;
const MAX_PAUSE_MS = 200;

/** Sends one request after the other to a gateway until it is told to stop. */
async function runCaller({ deployment, isOver, path }, name, gateway) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  let serial = 0;
  while (!isOver()) {
    serial += 1;
    const result = await caller.sendRequest({
      agent,
      host: gateway.ip,
      port: gateway.frontend,
      path,
      attempt: `${name}-${serial}`,
      deadlineMs: DEADLINE_MS,
    });
    deployment.note({ kind: 'answer', gateway: gateway.name, ...result });
    await deploymentStandIn.waitMs(MAX_PAUSE_MS * Math.random());
  }
  agent.destroy();
}

/** Starts clients at all gateways in turn; `stop` resolves once all of them have their answers. */
export function startKeptCallers(deployment, count, path) {
  let isStopped = false;
  const context = { deployment, path, isOver: () => isStopped };
  const { gateways } = deployment;
  const callers = Array.from({ length: count }, (_, at) =>
    runCaller(context, `caller${at}`, gateways[at % gateways.length]),
  );
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(callers);
    },
  };
}

/** Lists the requests that break the rule, for the machines that have more of them than it allows. */
export function findLost({ lines, gateways }) {
  const began = new Set(lines.filter(({ kind }) => kind === 'began').map(({ attempt }) => attempt));
  const lost = lines.filter(
    ({ kind, isKept, status, attempt }) =>
      kind === 'answer' && isKept && status === undefined && began.has(attempt),
  );
  return gateways.flatMap(({ name }) => {
    const own = lost.filter(({ gateway }) => gateway === name);
    return own.length > MAX_LOST
      ? own.map(({ ms, attempt, error }) => ({ rule: 'LOST', gateway: name, ms, attempt, error }))
      : [];
  });
}
