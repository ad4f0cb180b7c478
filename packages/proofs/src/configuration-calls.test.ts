import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as runtime from '@toucanproxy/runtime';
import * as standIns from '@toucanproxy/stand-ins';

const SERVICE = 'brimwit';
const READERS = 25;
const POLL_MS = 10;
const POLLS = 2000;

/** Calls per second of the whole fleet that the configuration service can answer. */
const ALLOWED_PER_SECOND = 2000;
/** Readers in the target deployment: 410 entries with 33 services each, and 600 agents. */
const TARGET_READERS = 410 * 33 + 600;

/** Waits until a condition holds, with a generous time limit. */
async function waitUntil(holds: () => boolean, polls = POLLS): Promise<void> {
  if (!holds()) {
    assert.ok(polls > 0, 'the condition never held');
    await timers.setTimeout(POLL_MS);
    await waitUntil(holds, polls - 1);
  }
}

nodeTest.test('calls of many readers', async (context) => {
  // Each reader calls once per version, and the service holds the call until there is
  // a newer version. A reader that polls, or calls twice for one version, would raise
  // the count.
  const platform = await standIns.startPlatform();
  const versions = Array.from({ length: READERS }, () => 0);
  const publish = (version: number) =>
    platform.publish(SERVICE, JSON.stringify({ service: SERVICE, version }));
  publish(1);
  const watches = versions.map((_, index) =>
    runtime.startConfigurationWatch({
      configurationUrl: `http://127.0.0.1:${platform.port}`,
      service: SERVICE,
      waitMs: 600_000,
      getVersion: () => versions[index],
      receiveDocument: (json) => {
        versions[index] = (JSON.parse(json) as { version: number }).version;
      },
      reportFailure: (reason) => assert.fail(reason),
      drawRandom: () => 0,
    }),
  );
  context.after(() => {
    watches.forEach((watch) => watch.stop());
    platform.stop();
  });
  await waitUntil(() => platform.countCalls() >= 2 * READERS);
  publish(2);
  await waitUntil(() => platform.countCalls() >= 3 * READERS);
  assert.ok(versions.every((version) => version === 2));
  assert.equal(platform.countCalls(), 3 * READERS);
});

nodeTest.test('calls of the whole fleet in an outage', () => {
  // The service fails every call. For any random delay, the readers of the target
  // deployment stay within the rate that the service allows from the first retry on.
  const shortestMs = runtime.computeRetryDelayMs(1, true, () => 0);
  const longestMs = runtime.computeRetryDelayMs(1, true, () => 1);
  const perSecond = (1000 * TARGET_READERS) / shortestMs;
  assert.ok(perSecond <= ALLOWED_PER_SECOND, `${perSecond} a second`);
  assert.ok(longestMs >= 2 * shortestMs);
});
