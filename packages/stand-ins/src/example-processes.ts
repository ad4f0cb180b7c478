/** Starts and stops the processes of the worked example. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as url from 'node:url';

const CLI = url
  .fileURLToPath(import.meta.resolve('@toucanproxy/cli'))
  .replace(/index\.js$/, 'main.js');

export type ExampleProcess = {
  name: string;
  child: childProcess.ChildProcess;
  started: Record<string, unknown>;
};

/**
 * Starts one daemon and writes its settings and its log to the folder.
 *
 * @param documentCount number of documents that have to be active before it counts as started
 */
export function startExampleProcess(
  folder: string,
  role: 'entry' | 'agent',
  name: string,
  settings: Record<string, unknown>,
  documentCount = 0,
): Promise<ExampleProcess> {
  const settingsFile = path.join(folder, `${name}.json`);
  fs.writeFileSync(settingsFile, JSON.stringify(settings, undefined, 2));
  const log = fs.createWriteStream(path.join(folder, `${name}.log`));
  const child = childProcess.spawn(process.execPath, [CLI, role, '--settings', settingsFile], {
    stdio: ['ignore', 'pipe', 'inherit'],
    // A separate process group: Ctrl-C in a terminal signals only this launcher,
    // which then stops entries before agents.
    detached: true,
  });
  return new Promise((resolve, reject) => {
    child.once('exit', (code) =>
      reject(new Error(`${name} exited with code ${code} before it had started`)),
    );
    let started: Record<string, unknown> | undefined;
    let documents = 0;
    readline.createInterface({ input: child.stdout }).on('line', (text) => {
      log.write(`${text}\n`);
      const line = JSON.parse(text) as Record<string, unknown>;
      started = line.event === 'started' ? line : started;
      documents += line.event === 'document' ? 1 : 0;
      if (started !== undefined && documents >= documentCount) {
        resolve({ name, child, started });
      }
    });
  });
}

/** Stops processes gracefully and waits until they have exited. */
export async function stopExampleProcesses(processes: ExampleProcess[]): Promise<void> {
  await Promise.all(
    processes
      .filter(({ child }) => child.exitCode === null && child.signalCode === null)
      .map(
        ({ child }) =>
          new Promise<void>((resolve) => {
            child.once('exit', () => resolve());
            child.kill('SIGTERM');
          }),
      ),
  );
}
