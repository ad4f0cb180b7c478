/** Runs a daemon until it is told to stop. */
import * as fs from 'node:fs';
import * as clipanion from 'clipanion';
import * as schema from '@toucanproxy/schema';
import * as exitCode from './exit-code.js';

type Daemon = { shutDown: () => void; stop: () => void };
type StartDaemon<Settings> = (settings: Settings, stopped: () => void) => Promise<Daemon>;

/** Runs a daemon; the first SIGTERM or SIGINT is graceful, a second immediate. */
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
      if (signals > 1 || daemon === undefined) {
        daemon?.stop();
        resolve(exitCode.ExitCode.INTERRUPTED);
        return;
      }
      daemon.shutDown();
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
    startDaemon(settings, stopped).then((started) => {
      daemon = started;
    }, reject);
  });
}

/** Reads settings from a file; throws a usage error that lists the faults. */
export function readSettings<T>(path: string, parse: (json: string) => schema.Parsed<T>): T {
  const parsed = parse(fs.readFileSync(path, 'utf8'));
  if (parsed.kind === 'faulty') {
    const lines = parsed.faults.map((fault) => `${fault.path}: ${fault.found}`);
    throw new clipanion.UsageError(`${path} is faulty:\n${lines.join('\n')}`);
  }
  return parsed.value;
}
