/** Runs a daemon in whose turns exceptions are thrown that nobody contains; prints what is called. */
import * as runDaemon from '../run-daemon.js';

const SHUTDOWN_MS = 50;
/** Whether a shutdown comes to its end. */
const endsShutdown = process.argv[2] === 'ends';

process.exitCode = await runDaemon.runDaemon({}, async (_, stopped) => {
  const timer = setInterval(() => {
    throw new Error('unexpected');
  }, SHUTDOWN_MS);
  return {
    shutDown: () => {
      process.stdout.write('shutDown\n');
      if (endsShutdown) {
        setTimeout(stopped, 2 * SHUTDOWN_MS);
      }
    },
    stop: () => {
      process.stdout.write('stop\n');
      clearInterval(timer);
    },
  };
});
process.exit();
