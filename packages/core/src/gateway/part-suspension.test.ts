import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as partLosses from './part-losses.js';
import * as partSuspension from './part-suspension.js';

const { test } = nodeTest;
const CAUSE = 'cafe';
const SHARED = ['5c1e07a2', 'e4402b7d'];
/** Time from sending a run to its loss, milliseconds. */
const RUN_MS = 100;

/** Records a run that was lost at a server. */
function failRun(
  state: partLosses.PartLosses,
  parts: readonly string[],
  server: number,
  lostMs: number,
  isSilent = false,
): void {
  const times = { sentMs: lostMs - RUN_MS, lostMs };
  const run = { parts, serverId: `server-${server}`, bornMs: 1, ...times, isSilent };
  partLosses.noteLostPartRun(state, run, lostMs);
}

/** Loses servers one after the other to a part, each with a run that shares other parts with it. */
function endServers(state: partLosses.PartLosses, count: number, beside: readonly string[]): void {
  for (let server = 0; server < count; server += 1) {
    const lostMs = (server + 1) * 200;
    failRun(state, [SHARED[0], CAUSE, SHARED[1]], server, lostMs);
    failRun(state, beside, server, lostMs);
  }
}

/** Returns whether a part is refused. */
function isSuspended(state: partLosses.PartLosses, part: string, now = 10_000): boolean {
  return partSuspension.findSuspendedPart(state, [part], now) !== undefined;
}

// Guards against requests that have one part in common and end one server after the other.
test('part is refused after losses in sequence', () => {
  const state = partLosses.createPartLosses();
  endServers(state, 1, SHARED);
  partLosses.noteSoundParts(state, SHARED, 250);
  assert.ok(!isSuspended(state, CAUSE));
  endServers(state, 2, SHARED);
  const found = partSuspension.findSuspendedPart(state, [SHARED[0], CAUSE, 'beef'], 700);
  assert.equal(found?.part, CAUSE);
  assert.ok(!isSuspended(state, SHARED[0]));
});

// Guards against counting runs that are lost together, as when servers lose power.
test('losses that happen together count as one', () => {
  const state = partLosses.createPartLosses();
  for (let server = 0; server < 10; server += 1) {
    failRun(state, [CAUSE], server, 1000 + server);
  }
  assert.ok(!isSuspended(state, CAUSE));
});

// Guards against parts that are refused as they often run beside the cause.
test('losses beside a cause do not count', () => {
  const state = partLosses.createPartLosses();
  endServers(state, 8, ['0bad', ...SHARED]);
  partLosses.noteSoundParts(state, SHARED, 450);
  endServers(state, 9, []);
  assert.ok(isSuspended(state, CAUSE));
  ['0bad', ...SHARED].forEach((part) => assert.ok(!isSuspended(state, part), part));
});

// Guards against a part that has been sound and is blamed before the cause is known.
test('part that has been sound is refused later', () => {
  const state = partLosses.createPartLosses();
  failRun(state, SHARED, 0, 100);
  partLosses.noteSoundParts(state, SHARED, 150);
  for (let server = 1; server <= 5; server += 1) {
    failRun(state, SHARED, server, server * 200);
  }
  assert.ok(!isSuspended(state, SHARED[0]));
  failRun(state, SHARED, 6, 1200);
  assert.ok(isSuspended(state, SHARED[0]));
});

// Guards against losses at servers that fall silent, which are known late, while other runs go on.
test('part is refused when servers fall silent together', () => {
  const state = partLosses.createPartLosses();
  [0, 1].forEach((server) => failRun(state, [CAUSE], server, 1000 + server * 60, true));
  assert.ok(!isSuspended(state, CAUSE));
  failRun(state, [CAUSE], 2, 1120, true);
  assert.ok(isSuspended(state, CAUSE));
});

// Guards against a gateway that stalls, after which the time of all its runs is over at once.
test('runs whose time is over at once count as one loss', () => {
  const state = partLosses.createPartLosses();
  for (let server = 0; server < 10; server += 1) {
    failRun(state, [CAUSE], server, 1000 + server, true);
  }
  assert.ok(!isSuspended(state, CAUSE));
});

// Guards against refusing for long a part that nearly all prompts share.
test('part that has been sound is tried again soon', () => {
  const state = partLosses.createPartLosses();
  partLosses.recordSample(state, SHARED, 0);
  endServers(state, 8, SHARED);
  partLosses.noteSoundParts(state, [CAUSE], 1650);
  const found = partSuspension.findSuspendedPart(state, [SHARED[0]], 1700);
  assert.equal(found?.trialMs, 2600);
});

// Guards against broken connections to servers that live on.
test('losses at servers that are heard later do not count', () => {
  const state = partLosses.createPartLosses();
  endServers(state, 2, []);
  partLosses.noteHeardServer(state, { serverId: 'server-1', bornMs: 1 }, 500);
  assert.ok(isSuspended(state, CAUSE));
  partLosses.noteHeardServer(state, { serverId: 'server-1', bornMs: 1 }, 1000);
  assert.ok(!isSuspended(state, CAUSE));
  partLosses.handleRestart(state, 'server-1', 5000);
  assert.ok(isSuspended(state, CAUSE));
});

// Guards against a part that stays refused although runs with it complete again.
test('sound run clears a part', () => {
  const state = partLosses.createPartLosses();
  endServers(state, 4, []);
  assert.ok(isSuspended(state, CAUSE));
  assert.ok(partLosses.noteSoundParts(state, [CAUSE], 2000));
  assert.ok(!isSuspended(state, CAUSE));
  assert.ok(!partLosses.noteSoundParts(state, [CAUSE], 2001));
});

// Guards against memory that grows with the number of distinct parts, and against losing the cause.
test('number of recorded parts is bounded', () => {
  const state = partLosses.createPartLosses();
  endServers(state, 3, []);
  for (let run = 0; run < 5000; run += 1) {
    failRun(state, [`a${run}`, `b${run}`], run, 1000 + run);
  }
  assert.ok(state.byPart.size <= 1280);
  assert.ok(state.lostServers.size <= 512);
  assert.ok(state.unsentRuns.length <= 256);
  assert.ok(isSuspended(state, CAUSE));
});
