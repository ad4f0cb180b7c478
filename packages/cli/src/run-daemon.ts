/** Runs a daemon until a signal stops it. */
import * as schema from '@toucanproxy/schema';
import * as exitCode from './exit-code.js';

type Daemon = { shutDown: () => void; stop: () => void };
type StartDaemon<Settings> = (settings: Settings, stopped: () => void) => Promise<Daemon>;

/**
 * Time for the shutdown after an exception, milliseconds. What the exception left undone is unknown,
 * and may keep the shutdown from ending.
 */
const FAILED_SHUTDOWN_MS = 10_000;

/** Reports an exception that nothing contains. */
function reportUncaught(error: unknown): void {
  const text = error instanceof Error ? error.stack : String(error);
  process.stderr.write(`result ${schema.ResultCode.INTERNAL}: uncaught: ${text}\n`);
}

/**
 * Runs a daemon. The first SIGTERM or SIGINT shuts it down gracefully, once it has started if it comes
 * before; a second one stops it immediately. An exception that nothing contains shuts it down as well, with
 * another exit code.
 */
export async function runDaemon<Settings>(
  settings: Settings,
  startDaemon: StartDaemon<Settings>,
): Promise<exitCode.ExitCode> {
  let handleUncaught: (error: unknown) => void = () => {};
  const ended = new Promise<exitCode.ExitCode>((resolve, reject) => {
    let daemon: Daemon | undefined;
    let signals = 0;
    let code = exitCode.ExitCode.OK;
    const stopped = () => {
      daemon?.stop();
      resolve(code);
    };
    const handleSignal = () => {
      signals += 1;
      if (signals > 1) {
        daemon?.stop();
        resolve(exitCode.ExitCode.INTERRUPTED);
        return;
      }
      daemon?.shutDown();
    };
    handleUncaught = (error) => {
      reportUncaught(error);
      if (daemon === undefined) {
        resolve(exitCode.ExitCode.FAILED);
      } else if (code === exitCode.ExitCode.OK) {
        code = exitCode.ExitCode.FAILED;
        setTimeout(stopped, FAILED_SHUTDOWN_MS);
        daemon.shutDown();
      }
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
    process.on('uncaughtException', handleUncaught);
    startDaemon(settings, stopped).then((started) => {
      daemon = started;
      // Its port may have been open for a while.
      if (signals > 0) {
        daemon.shutDown();
      }
    }, reject);
  });
  return ended.finally(() => process.off('uncaughtException', handleUncaught));
}
