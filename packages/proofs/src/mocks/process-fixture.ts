/** A platform, backend servers and entries as processes, with callers and journals. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as standIns from '@toucanproxy/stand-ins';
import * as undici from 'undici';
import * as exampleDocument from './example-document.js';
import * as processFleet from './process-fleet.js';

export type JournalLine = { event: string; requestId: string; promptDigest: string };

export type Runner = {
  id: string;
  engine: processFleet.RunningProcess;
  agent: processFleet.RunningProcess;
  journalFile: string;
  /** Address that documents give for the agent; a forwarder may stand in for it. */
  address: string;
};

export type ProcessFixture = {
  fleet: processFleet.Fleet;
  platform: standIns.Platform;
  backendServers: Runner[];
  entries: processFleet.RunningProcess[];
  version: number;
};

export type ChatOptions = {
  prompt: string;
  tokens?: number;
  stream?: boolean;
  /** `brim-stall` is urgent, `band-draft` is not. */
  token?: string;
  timeoutMs?: number;
  key?: string;
  path?: string;
};

/** What a caller got; `broken` where its connection ended before the answer. */
export type ChatAnswer = { status: number; text: string; broken: boolean };

export const SERVICE = 'brimwit';
const WAIT_MS = 30_000;
const POLL_MS = 20;
const TIMING = { heartbeatIntervalMs: 100, heartbeatTimeoutMs: 1000 };

/** Waits until a condition holds. */
export async function waitUntil(
  what: string,
  holds: () => boolean,
  waitMs = WAIT_MS,
): Promise<void> {
  const untilMs = Date.now() + waitMs;
  while (!holds()) {
    if (Date.now() > untilMs) {
      throw new Error(`not reached: ${what}`);
    }
    await timers.setTimeout(POLL_MS);
  }
}

/** Gets the URL of a platform's configuration service. */
function getPlatformUrl(platform: { port: number }): string {
  return `http://127.0.0.1:${platform.port}`;
}

/** Creates a scene with its platform only. */
export async function createProcessFixture(): Promise<ProcessFixture> {
  const platform = await standIns.startPlatform();
  const fleet = processFleet.createFleet();
  return { fleet, platform, backendServers: [], entries: [], version: 0 };
}

/** Ends everything. */
export function stopProcessFixture(scene: ProcessFixture): void {
  processFleet.stopFleet(scene.fleet);
  scene.platform.stop();
}

/** Starts an agent process. */
export function startAgent(
  scene: ProcessFixture,
  id: string,
  enginePort: unknown,
  extra: Record<string, unknown> = {},
): Promise<processFleet.RunningProcess> {
  return processFleet.startDaemon(scene.fleet, 'agent', {
    backendServerId: id,
    service: SERVICE,
    failureDomain: 'suva-loft',
    platform: { configurationUrl: getPlatformUrl(scene.platform) },
    engineUrl: `http://127.0.0.1:${enginePort}`,
    ...extra,
  });
}

/** Adds a backend server: an engine and the agent beside it. */
export async function addBackendServer(
  scene: ProcessFixture,
  engineOptions: Record<string, unknown> = {},
): Promise<Runner> {
  const id = `runner-${scene.backendServers.length + 1}`;
  const journalFile = path.join(scene.fleet.folder, `${id}.journal`);
  fs.writeFileSync(journalFile, '');
  const options = { journalFile, ...engineOptions };
  const engine = await processFleet.startStandIn(scene.fleet, 'engine', options);
  const agent = await startAgent(scene, id, engine.started.port);
  const address = `127.0.0.1:${agent.started.linkPort}`;
  const runner = { id, engine, agent, journalFile, address };
  scene.backendServers.push(runner);
  return runner;
}

/** Builds the next document of a scene. */
export function buildNextDocument(
  scene: ProcessFixture,
  overrides: Record<string, unknown> = {},
): Record<string, unknown> {
  scene.version += 1;
  return exampleDocument.buildDocument(SERVICE, scene.version, scene.backendServers, {
    timing: TIMING,
    ...overrides,
  });
}

/** Publishes the next document. */
export function publishNext(scene: ProcessFixture, overrides: Record<string, unknown> = {}): void {
  scene.platform.publish(SERVICE, JSON.stringify(buildNextDocument(scene, overrides)));
}

/** Counts the backend servers that an entry has links to. */
async function countLinks(entry: processFleet.RunningProcess): Promise<number> {
  const url = `http://127.0.0.1:${entry.started.operatorPort}/status`;
  const response = await undici.request(url);
  const status = (await response.body.json()) as { backendServers: { state: string }[] };
  return status.backendServers.filter((one) => one.state === 'live').length;
}

/** Adds an entry and waits until it has links to every backend server. */
export async function addEntry(
  scene: ProcessFixture,
  platform: { port: number } = scene.platform,
  extra: Record<string, unknown> = {},
): Promise<processFleet.RunningProcess> {
  const entry = await processFleet.startDaemon(scene.fleet, 'entry', {
    entryId: `entry-${scene.entries.length + 1}`,
    failureDomain: 'suva-loft',
    services: [SERVICE],
    platform: { configurationUrl: getPlatformUrl(platform) },
    ...extra,
  });
  scene.entries.push(entry);
  await entry.waitForLine((line) => line.event === 'document');
  const untilMs = Date.now() + WAIT_MS;
  while ((await countLinks(entry)) < scene.backendServers.length) {
    if (Date.now() > untilMs) {
      throw new Error('not linked to every backend server');
    }
    await timers.setTimeout(POLL_MS);
  }
  return entry;
}

/** Starts a scene of so many backend servers and entries. */
export async function startProcessFixture(
  size: { runners: number; entries: number },
  engineOptions: Record<string, unknown> = {},
  overrides: Record<string, unknown> = {},
): Promise<ProcessFixture> {
  const scene = await createProcessFixture();
  while (scene.backendServers.length < size.runners) {
    await addBackendServer(scene, engineOptions);
  }
  publishNext(scene, overrides);
  while (scene.entries.length < size.entries) {
    await addEntry(scene);
  }
  return scene;
}

/** Builds the body of a chat request. */
export function buildBody(options: ChatOptions): string {
  return JSON.stringify({
    model: SERVICE,
    messages: [{ role: 'user', content: options.prompt }],
    max_tokens: options.tokens ?? 5,
    stream: options.stream ?? false,
  });
}

/** Builds the words that belong to a request. */
export function buildExpectedWords(options: ChatOptions): string {
  const word = standIns.hashPrompt(buildBody(options)).slice(0, 8);
  return Array.from({ length: options.tokens ?? 5 }, (_, index) => `${word}-${index} `).join('');
}

/** Sends a request through an entry and waits for what its caller gets. */
export async function sendChat(
  entry: processFleet.RunningProcess,
  options: ChatOptions,
): Promise<ChatAnswer> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${options.token ?? 'brim-stall'}`,
    'content-type': 'application/json',
    'x-request-timeout-ms': String(options.timeoutMs ?? WAIT_MS),
  };
  if (options.key !== undefined) {
    headers['idempotency-key'] = options.key;
  }
  const url = `http://127.0.0.1:${entry.started.callerPort}`;
  const answer: ChatAnswer = { status: 0, text: '', broken: false };
  try {
    const response = await undici.request(`${url}${options.path ?? '/v1/chat/completions'}`, {
      method: 'POST',
      headers,
      body: buildBody(options),
      headersTimeout: 2 * WAIT_MS,
      bodyTimeout: 2 * WAIT_MS,
    });
    answer.status = response.statusCode;
    for await (const chunk of response.body) {
      answer.text += String(chunk);
    }
  } catch {
    answer.broken = true;
  }
  return answer;
}

/** Reads the words of an answer, streamed or not. */
export function readWords(answer: ChatAnswer): string {
  if (!answer.text.startsWith('data:')) {
    const body = JSON.parse(answer.text) as { choices: { message: { content: string } }[] };
    return body.choices[0].message.content;
  }
  return answer.text
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice('data: '.length)))
    .map((chunk: { choices: { delta: { content: string } }[] }) => chunk.choices[0].delta.content)
    .join('');
}

/** Reads the run state that a failure told. */
export function readRunState(answer: ChatAnswer): string {
  const body = JSON.parse(answer.text) as { error: { run_state: string } };
  return body.error.run_state;
}

/** Reads the lines of every journal about one request, or about all. */
export function readJournals(scene: ProcessFixture, options?: ChatOptions): JournalLine[] {
  const lines = scene.backendServers.flatMap((runner) =>
    fs
      .readFileSync(runner.journalFile, 'utf8')
      .split('\n')
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as JournalLine),
  );
  const digest = options && standIns.hashPrompt(buildBody(options));
  return lines.filter((line) => digest === undefined || line.promptDigest === digest);
}

/** Counts how often a request was started, over all engines. */
export function countStarts(scene: ProcessFixture, options: ChatOptions): number {
  return readJournals(scene, options).filter((line) => line.event === 'start').length;
}

/** Waits until an engine has started a request. */
export function waitForStart(scene: ProcessFixture, options: ChatOptions): Promise<void> {
  return waitUntil(`start of ${options.prompt}`, () => countStarts(scene, options) > 0);
}

/** Waits until a process has exited and gets its exit code; null after a signal. */
export async function waitForExit(running: processFleet.RunningProcess): Promise<number | null> {
  const { child } = running;
  await waitUntil('exit', () => child.exitCode !== null || child.signalCode !== null);
  return child.exitCode;
}

/**
 * Sends a request again while it is told as not run with status 503, as a caller
 * would; returns the first other answer, or the last one when the wait is over.
 */
export async function sendUntilServed(
  entry: processFleet.RunningProcess,
  options: ChatOptions,
): Promise<ChatAnswer> {
  const untilMs = Date.now() + WAIT_MS;
  let answer = await sendChat(entry, options);
  while (answer.status === 503 && readRunState(answer) === 'not_run' && Date.now() < untilMs) {
    await timers.setTimeout(POLL_MS);
    answer = await sendChat(entry, options);
  }
  return answer;
}
