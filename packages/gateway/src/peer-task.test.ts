import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as domainTraffic from './domain-traffic.js';
import * as peerTask from './peer-task.js';

const { test } = nodeTest;
const HOST = '127.0.0.1';
/** Number of reports that are checked after the gateway has begun to leave. */
const REPORTS = 3;

/** Creates the state of a gateway that has just started. */
function createState(): gateway.GatewayState {
  const quotaTolerance = { overage: 0, slack: 0, windowMs: 0 };
  const warmUpTolerance = { factor: 1, extra: 0 };
  const retries = { retryRatio: 0.01, retryExtra: 1 };
  const bounds = { leaseMs: 1, entryReturnMs: 1, quotaTolerance, warmUpTolerance, ...retries };
  const place = { failureDomain: 'd', regionByDomain: new Map<string, string>() };
  const identity = { address: `${HOST}:1`, life: 'a', processorPercent: 50, seeds: [], ...place };
  return gateway.createGatewayState(identity, bounds, Math.random, 0);
}

test('every report of a gateway that is leaving says so', async () => {
  // A gateway that shuts down continues to serve for some seconds and reports that it is leaving.
  // If its later reports did not repeat this, the other gateways would choose it as a scheduler
  // again and wait for replies after it is gone.
  const peer = dgram.createSocket('udp4');
  await new Promise<void>((resolve) => {
    peer.bind(0, HOST, resolve);
  });
  const task = peerTask.startPeerTask({
    listen: { host: HOST, port: 0 },
    seeds: [`${HOST}:${peer.address().port}`],
    state: createState(),
    traffic: domainTraffic.createDomainTraffic(),
    readNow: () => performance.now(),
    runGuarded: (_unit, step) => step(),
    reportProblem: (reason) => assert.fail(reason),
  });
  const leaving: boolean[] = [];
  await new Promise<void>((resolve) => {
    peer.on('message', (bytes) => {
      const { content } = schema.fromBinary(schema.PeerMessageSchema, bytes);
      if (content.case === 'report') {
        leaving.push(content.value.leaving);
      }
      if (leaving.length === 1) {
        task.sendLeaving();
      }
      if (leaving.length === 1 + REPORTS) {
        resolve();
      }
    });
  });
  task.stop();
  peer.close();
  assert.deepEqual(leaving, [false, true, true, true]);
});

/** Opens a peer task whose problems are collected, and a socket that sends it datagrams. */
async function openPeer(context: nodeTest.TestContext) {
  const problems: string[] = [];
  const state = createState();
  const sender = dgram.createSocket('udp4');
  const port = await new Promise<number>((resolve) => {
    const probe = dgram.createSocket('udp4');
    probe.bind(0, HOST, () => {
      const free = probe.address().port;
      probe.close(() => resolve(free));
    });
  });
  const task = peerTask.startPeerTask({
    listen: { host: HOST, port },
    seeds: [],
    state,
    traffic: domainTraffic.createDomainTraffic(),
    readNow: () => performance.now(),
    runGuarded: (_unit, step) => step(),
    reportProblem: (reason) => problems.push(reason),
  });
  context.after(() => {
    task.stop();
    sender.close();
  });
  const send = (content: schema.PeerMessage['content']) => {
    const message = schema.create(schema.PeerMessageSchema, { content });
    sender.send(schema.toBinary(schema.PeerMessageSchema, message), port, HOST);
  };
  return { state, task, problems, send };
}

test('address that no datagram can be sent to does not end the process', async (context) => {
  // Guards against a peer of another build that names itself or others by such an address.
  const { state, problems, send } = await openPeer(context);
  const odd = [`${HOST}:70000`, `${HOST}:0`, 'host', '', '999.1.1.1:7000', '0.0.0.0:7000'];
  odd.forEach((address, at) =>
    send({
      case: 'report',
      value: schema.create(schema.GatewayReportSchema, { address, life: `l${at}`, sequence: 1 }),
    }),
  );
  const peers = [...odd, `${HOST}:7001`];
  const report = { address: `${HOST}:7002`, life: 'sound', sequence: 1, peers };
  send({ case: 'report', value: schema.create(schema.GatewayReportSchema, report) });
  await timers.setTimeout(2 * gateway.REPORT_MS);
  assert.deepEqual(gateway.listKnownAddresses(state.peers).sort(), [
    `${HOST}:7001`,
    `${HOST}:7002`,
  ]);
  assert.equal(problems.filter((problem) => problem.includes('address')).length, odd.length);
});

test('number that is none in a report poisons no total', async (context) => {
  // Guards against a quota that is spent or unlimited for good after one datagram.
  const { state, send } = await openPeer(context);
  const amounts = [NaN, Infinity, -Infinity];
  const used = amounts.map((amount, at) => ({ workspace: `w${at}`, amount }));
  const report = { address: `${HOST}:7002`, life: 'sound', sequence: 1, used };
  send({ case: 'report', value: schema.create(schema.GatewayReportSchema, report) });
  await timers.setTimeout(gateway.REPORT_MS);
  const [peer] = [...state.peers.byAddress.values()];
  assert.equal(peer.used.size, amounts.length);
  assert.ok([...peer.used.values()].every(Number.isFinite));
});

test('granted server whose address is none is not connected to', async (context) => {
  // Guards against a scheduler of another build that passes on an entry this gateway ignores.
  const { task, send } = await openPeer(context);
  const received: (schema.ServerEntry | undefined)[] = [];
  const receiver = {
    receiveAsk: () => {},
    receiveReply: ({ grants }: schema.ScheduleReply) =>
      received.push(...grants.map(({ entry }) => entry)),
    receiveOrigins: () => {},
    receiveOriginQuery: () => {},
    receiveLostRuns: () => {},
  };
  task.setReceiver(receiver);
  const grants = [`${HOST}:80800`, `${HOST}:8080`].map((address) => ({ entry: { address } }));
  const reply = schema.create(schema.ScheduleReplySchema, { address: `${HOST}:7002`, grants });
  send({ case: 'reply', value: reply });
  await timers.setTimeout(gateway.REPORT_MS);
  assert.deepEqual(
    received.map((entry) => entry?.address),
    [undefined, `${HOST}:8080`],
  );
});
