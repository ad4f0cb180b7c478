import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as acceptDelay from './accept-delay.js';

const { test } = nodeTest;
const PROBE_PORT = 77;
/** More turns of the event loop than it takes to find the queue empty. */
const TURNS = 5;

/** Waits for turns of the event loop. A timer can fire before them if the process is delayed. */
async function waitForTurns(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await timers.setImmediate();
  }
}

/** Builds a connection between the given ports. */
function buildSocket(localPort: number, remotePort: number, isEstablished = true): net.Socket {
  const socket = {
    remotePort,
    address: () => ({ port: localPort }),
    on: (name: string, listener: () => void) => {
      if (name === 'connect' && isEstablished) {
        listener();
      }
    },
    destroy: () => {},
  };
  return socket as unknown as net.Socket;
}

/** Starts to measure with a clock that the test sets; its probes are established or lost. */
function startMeasuring(isEstablished = true) {
  const clock = { now: 0, probes: 0 };
  const openProbe = () => {
    clock.probes += 1;
    return buildSocket(PROBE_PORT, 1, isEstablished);
  };
  const delay = acceptDelay.startAcceptDelay(openProbe, () => clock.now);
  const accept = (port: number, unreadMs = 0) => delay.noteAccepted(buildSocket(1, port), unreadMs);
  return { clock, delay, accept };
}

test('wait of new connections is measured until the queue is empty', async () => {
  // Guards against requests on queued connections that count as sent when they are accepted.
  const { clock, delay, accept } = startMeasuring();
  accept(2);
  clock.now = 60;
  assert.equal(accept(3), false);
  clock.now = 260;
  assert.equal(delay.getDelayMs(), 200);
  assert.equal(accept(PROBE_PORT), true);
  assert.equal(delay.getDelayMs(), 200);
  await waitForTurns();
  assert.equal(delay.getDelayMs(), 0);
});

test('connections after a stall may have waited since it began', () => {
  const { clock, delay, accept } = startMeasuring();
  accept(2, 700);
  clock.now = 10;
  accept(3);
  assert.equal(delay.getDelayMs(), 710);
});

test('single connections are not measured', async () => {
  // Guards against connections of the process to itself under normal load.
  const { clock, delay, accept } = startMeasuring();
  accept(2);
  await waitForTurns();
  clock.now = 1000;
  accept(3);
  assert.equal(clock.probes, 0);
  assert.equal(delay.getDelayMs(), 0);
});

[
  { name: 'lost', isEstablished: false, measuredMs: 0 },
  { name: 'queued', isEstablished: true, measuredMs: 900 },
].forEach(({ name, isEstablished, measuredMs }) =>
  test(`age of a probe counts as the wait only in the queue: ${name}`, async () => {
    // Guards against refusing connections that hardly wait, as a probe was dropped by the kernel.
    const { clock, delay, accept } = startMeasuring(isEstablished);
    accept(2);
    clock.now = 60;
    accept(3);
    assert.equal(clock.probes, 1);
    await timers.setImmediate();
    clock.now = 960;
    accept(4);
    await timers.setImmediate();
    accept(5);
    await timers.setImmediate();
    assert.equal(delay.getMeasuredMs(), measuredMs);
  }),
);

test('lost probe is followed by another one', async () => {
  const { clock, accept } = startMeasuring(false);
  accept(2);
  for (let turn = 1; turn <= 2 * TURNS; turn += 1) {
    clock.now = turn * 60;
    accept(2 + turn);
    await timers.setImmediate();
  }
  assert.ok(clock.probes >= 3);
});
