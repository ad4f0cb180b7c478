import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as exitCode from './exit-code.js';
import * as runDaemon from './run-daemon.js';

const { test } = nodeTest;
const { OK, FAILED, INTERRUPTED } = exitCode.ExitCode;

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

/** Runs a daemon that throws exceptions; returns how it ended. */
async function runFailing(ending: string) {
  const program = url.fileURLToPath(new URL('./mocks/failing-daemon.js', import.meta.url));
  const child = childProcess.spawn(process.execPath, [program, ending]);
  let printed = '';
  child.stdout.on('data', (text) => {
    printed += String(text);
  });
  const code = await new Promise<number | null>((resolve) => {
    child.on('close', resolve);
  });
  return { code, printed: printed.trim().split('\n') };
}

test('exception that nobody contains shuts a daemon down gracefully', async () => {
  // Guards against one exception that takes all requests of an entry or agent with it.
  assert.deepEqual(await runFailing('ends'), { code: FAILED, printed: ['shutDown', 'stop'] });
});

test('exceptions that keep a shutdown from ending do not keep the process', async () => {
  assert.deepEqual(await runFailing('stays'), { code: FAILED, printed: ['shutDown', 'stop'] });
});
