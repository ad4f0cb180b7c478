/** Processor time of the daemons: for each request, each streamed part, and at rest. */
import * as timers from 'node:timers/promises';
import * as proofs from '@toucanproxy/proofs';
import * as processCost from './process-cost.js';

export type DaemonSlopes = {
  /** Processor milliseconds for a request and for a streamed token, by role. */
  perRequest: Record<string, number>;
  perToken: Record<string, number>;
  /** Share of a core at rest without heartbeats: ticks, watches and probes. */
  restShare: Record<string, number>;
  /** Processor milliseconds for one heartbeat sent and one received. */
  perHeartbeat: Record<string, number>;
  residentBytes: Record<string, number>;
};

type Measured = { requests: number; tokens: number; spent: Record<string, number> };

const REQUESTS = 600;
const AT_ONCE = 12;
const SHORT_TOKENS = 4;
const LONG_TOKENS = 104;
const IDLE_MS = 8000;
const MS_PER_SECOND = 1000;
/** Entries, and agents, of the scene at rest; each has links to all of the others. */
const REST_SIZE = 6;
/** Heartbeat intervals of the scene at rest, milliseconds: multiples of a tick. */
const OFTEN_MS = 150;
const SELDOM_MS = 3000;
/** Less than the interval, so that the tick at its end is never a moment too early. */
const EARLY_MS = 20;

/** Lists the processes that are measured, by role. */
function listRoles(scene: proofs.Scene): Record<string, number[]> {
  return {
    entry: scene.entries.map((entry) => entry.child.pid ?? 0),
    agent: scene.backendServers.map((runner) => runner.agent.child.pid ?? 0),
  };
}

/** Computes the mean over the processes of a role. */
function computeMean(pids: readonly number[], read: (pid: number) => number): number {
  return pids.reduce((sum, pid) => sum + read(pid), 0) / pids.length;
}

/** Measures the processor time that some work takes, by role, milliseconds. */
async function measureSpent(
  scene: proofs.Scene,
  work: () => Promise<void>,
): Promise<Record<string, number>> {
  const roles = listRoles(scene);
  const read = () =>
    Object.entries(roles).map(
      ([name, pids]) => [name, computeMean(pids, processCost.readProcessorMs)] as const,
    );
  const before = new Map(read());
  await work();
  return Object.fromEntries(read().map(([name, ms]) => [name, ms - (before.get(name) ?? 0)]));
}

/** Sends streamed requests, a few at a time; throws where one is not served. */
async function sendMany(scene: proofs.Scene, tokens: number): Promise<void> {
  let left = REQUESTS;
  const sendOnes = async () => {
    while (left > 0) {
      left -= 1;
      const answer = await proofs.sendChat(scene.entries[0], {
        prompt: `measure ${left}`,
        tokens,
        stream: true,
      });
      if (answer.status !== 200) {
        throw new Error(`not served: ${answer.text}`);
      }
    }
  };
  await Promise.all(Array.from({ length: AT_ONCE }, sendOnes));
}

/** Measures requests of one length. */
async function measureRequests(scene: proofs.Scene, tokens: number): Promise<Measured> {
  const spent = await measureSpent(scene, () => sendMany(scene, tokens));
  return { requests: REQUESTS, tokens, spent };
}

/** Works the two slopes out of two lengths. */
function computeSlopes(short: Measured, long: Measured, role: string): [number, number] {
  const shortEach = short.spent[role] / short.requests;
  const longEach = long.spent[role] / long.requests;
  const perToken = (longEach - shortEach) / (long.tokens - short.tokens);
  return [shortEach - perToken * short.tokens, perToken];
}

/** Measures the share of a core that a process takes at rest, by role. */
async function measureRest(
  scene: proofs.Scene,
  intervalMs: number,
): Promise<Record<string, number>> {
  const timing = {
    heartbeatIntervalMs: intervalMs - EARLY_MS,
    heartbeatTimeoutMs: 5 * SELDOM_MS,
  };
  proofs.publishNext(scene, { timing });
  await timers.setTimeout(MS_PER_SECOND);
  const spent = await measureSpent(scene, () => timers.setTimeout(IDLE_MS));
  return Object.fromEntries(Object.entries(spent).map(([name, ms]) => [name, ms / IDLE_MS]));
}

/** Works out the processor time of one heartbeat each way, milliseconds. */
function computePerHeartbeat(often: number, seldom: number): number {
  const perSecond = REST_SIZE * (MS_PER_SECOND / OFTEN_MS - MS_PER_SECOND / SELDOM_MS);
  return ((often - seldom) * MS_PER_SECOND) / perSecond;
}

type RestSlopes = Pick<DaemonSlopes, 'restShare' | 'perHeartbeat'>;

/** Measures daemons that have links and no requests. */
async function measureIdleDaemons(): Promise<RestSlopes> {
  const scene = await proofs.startScene({ runners: REST_SIZE, entries: REST_SIZE });
  try {
    const seldom = await measureRest(scene, SELDOM_MS);
    const often = await measureRest(scene, OFTEN_MS);
    const perHeartbeat = Object.fromEntries(
      Object.keys(seldom).map((role) => [role, computePerHeartbeat(often[role], seldom[role])]),
    );
    const seldomPerSecond = (REST_SIZE * MS_PER_SECOND) / SELDOM_MS;
    const restShare = Object.fromEntries(
      Object.entries(seldom).map(([role, share]) => [
        role,
        share - (perHeartbeat[role] * seldomPerSecond) / MS_PER_SECOND,
      ]),
    );
    return { restShare, perHeartbeat };
  } finally {
    proofs.stopScene(scene);
  }
}

/** Measures one entry and one agent at work. */
async function measureBusyDaemons(): Promise<Omit<DaemonSlopes, keyof RestSlopes>> {
  const scene = await proofs.startScene({ runners: 1, entries: 1 });
  try {
    await measureRequests(scene, SHORT_TOKENS);
    const short = await measureRequests(scene, SHORT_TOKENS);
    const long = await measureRequests(scene, LONG_TOKENS);
    const roles = Object.entries(listRoles(scene));
    const toTable = (read: (role: string, pids: number[]) => number) =>
      Object.fromEntries(roles.map(([role, pids]) => [role, read(role, pids)]));
    const residentBytes = toTable((_role, pids) =>
      computeMean(pids, processCost.readResidentBytes),
    );
    return {
      perRequest: toTable((role) => computeSlopes(short, long, role)[0]),
      perToken: toTable((role) => computeSlopes(short, long, role)[1]),
      residentBytes,
    };
  } finally {
    proofs.stopScene(scene);
  }
}

/** Measures the daemons over loopback, busy and at rest. */
export async function measureDaemons(): Promise<DaemonSlopes> {
  const busy = await measureBusyDaemons();
  const rest = await measureIdleDaemons();
  return { ...busy, ...rest };
}
