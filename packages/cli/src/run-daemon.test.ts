import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as exitCode from './exit-code.js';
import * as runDaemon from './run-daemon.js';

const { test } = nodeTest;
const { OK, INTERRUPTED } = exitCode.ExitCode;

/** Runs a daemon that records its calls and starts once `start` is called. */
function runRecorded(context: nodeTest.TestContext) {
  const calls: string[] = [];
  let start = () => {};
  const before = process.listeners('SIGTERM');
  const code = runDaemon.runDaemon({}, async (_, stopped) => {
    await new Promise<void>((resolve) => {
      start = resolve;
    });
    return {
      shutDown: () => {
        calls.push('shutDown');
        stopped();
      },
      stop: () => calls.push('stop'),
    };
  });
  context.after(() =>
    (['SIGTERM', 'SIGINT'] as const).forEach((name) =>
      process
        .listeners(name)
        .filter((listener) => !before.includes(listener))
        .forEach((listener) => process.removeListener(name, listener)),
    ),
  );
  return { calls, code, start: () => start() };
}

test('signal before the daemon has started shuts it down gracefully', async (context) => {
  // Guards against the end of a process whose port is open already, with requests that it has read.
  const { calls, code, start } = runRecorded(context);
  process.emit('SIGTERM', 'SIGTERM');
  start();
  assert.equal(await code, OK);
  assert.deepEqual(calls, ['shutDown', 'stop']);
});

test('second signal ends a daemon that does not start', async (context) => {
  const { calls, code } = runRecorded(context);
  process.emit('SIGTERM', 'SIGTERM');
  process.emit('SIGTERM', 'SIGTERM');
  assert.equal(await code, INTERRUPTED);
  assert.deepEqual(calls, []);
});
