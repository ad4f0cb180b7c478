/** Starts the system's processes and its stand-ins for tests over real processes. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as url from 'node:url';

const CLI = url
  .fileURLToPath(import.meta.resolve('@toucanproxy/cli'))
  .replace(/index\.js$/, 'main.js');
const STAND_INS = url
  .fileURLToPath(import.meta.resolve('@toucanproxy/stand-ins'))
  .replace(/index\.js$/, 'main.js');

export type LogLine = Record<string, unknown>;

/** One process with the log lines it has written. */
export type RunningProcess = {
  child: childProcess.ChildProcess;
  lines: LogLine[];
  started: LogLine;
  waitForLine: (matches: (line: LogLine) => boolean) => Promise<LogLine>;
};

export type Fleet = {
  folder: string;
  running: RunningProcess[];
};

const LINE_TIMEOUT_MS = 30_000;

/** Creates an empty fleet with a folder for its files. */
export function createFleet(): Fleet {
  return { folder: fs.mkdtempSync(path.join(os.tmpdir(), 'toucanproxy-')), running: [] };
}

/** Ends every process of a fleet, by its id. */
export function stopFleet(fleet: Fleet): void {
  fleet.running.forEach((one) => one.child.kill('SIGKILL'));
  fs.rmSync(fleet.folder, { recursive: true, force: true });
}

/** Starts one process and waits for its line that says it has started. */
async function startProcess(fleet: Fleet, args: string[]): Promise<RunningProcess> {
  const child = childProcess.spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines: LogLine[] = [];
  const waiting = new Set<(line: LogLine) => void>();
  readline.createInterface({ input: child.stdout }).on('line', (text) => {
    const line = JSON.parse(text) as LogLine;
    lines.push(line);
    waiting.forEach((check) => check(line));
  });
  const waitForLine = (matches: (line: LogLine) => boolean): Promise<LogLine> =>
    new Promise((resolve, reject) => {
      const known = lines.find(matches);
      if (known !== undefined) {
        resolve(known);
        return;
      }
      const timer = setTimeout(
        () => reject(new Error(`no such line from ${args.join(' ')}`)),
        LINE_TIMEOUT_MS,
      );
      const check = (line: LogLine) => {
        if (matches(line)) {
          clearTimeout(timer);
          waiting.delete(check);
          resolve(line);
        }
      };
      waiting.add(check);
    });
  const running: RunningProcess = { child, lines, started: {}, waitForLine };
  fleet.running.push(running);
  running.started = await waitForLine((line) => line.event === 'started');
  return running;
}

/** Starts a stand-in. */
export function startStandIn(
  fleet: Fleet,
  kind: 'engine' | 'platform' | 'plain-service' | 'weight-store',
  options: Record<string, unknown>,
): Promise<RunningProcess> {
  return startProcess(fleet, [STAND_INS, kind, JSON.stringify(options)]);
}

/** Starts a daemon from settings that are written to a file of the fleet. */
export function startDaemon(
  fleet: Fleet,
  kind: 'entry' | 'agent',
  settings: Record<string, unknown>,
): Promise<RunningProcess> {
  const file = path.join(fleet.folder, `${kind}-${fleet.running.length}.json`);
  fs.writeFileSync(file, JSON.stringify(settings));
  return startProcess(fleet, [CLI, kind, '--settings', file]);
}
