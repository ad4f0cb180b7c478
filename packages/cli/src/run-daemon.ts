/** Runs a daemon until a signal stops it. */
import * as exitCode from './exit-code.js';

type Daemon = { shutDown: () => void; stop: () => void };
type StartDaemon<Settings> = (settings: Settings, stopped: () => void) => Promise<Daemon>;

/**
 * Runs a daemon. The first SIGTERM or SIGINT shuts it down gracefully, once it has started if it comes
 * before; a second one stops it immediately.
 */
export async function runDaemon<Settings>(
  settings: Settings,
  startDaemon: StartDaemon<Settings>,
): Promise<exitCode.ExitCode> {
  return new Promise((resolve, reject) => {
    let daemon: Daemon | undefined;
    let signals = 0;
    const stopped = () => {
      daemon?.stop();
      resolve(exitCode.ExitCode.OK);
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
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
    startDaemon(settings, stopped).then((started) => {
      daemon = started;
      // Its port may have been open for a while.
      if (signals > 0) {
        daemon.shutDown();
      }
    }, reject);
  });
}
