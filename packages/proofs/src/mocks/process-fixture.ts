/** A test fixture: a platform, backend servers and entries as processes, and calls to them. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as standIns from '@toucanproxy/stand-ins';
import * as undici from 'undici';
import * as exampleDocument from './example-document.js';
import * as processFleet from './process-fleet.js';

export type JournalLine = { event: string; requestId: string; promptDigest: string };

export type TestBackendServer = {
  id: string;
  engine: processFleet.RunningProcess;
  agent: processFleet.RunningProcess;
  journalFile: string;
  /** Address of the agent in documents; tests may replace it by the address of a forwarder. */
  address: string;
};

export type ProcessFixture = {
  fleet: processFleet.ProcessFleet;
  platform: standIns.Platform;
  backendServers: TestBackendServer[];
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

/** What a caller received; `broken` if its connection ended before the response was complete. */
export type ChatResponse = { status: number; text: string; broken: boolean };

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
      throw new Error(`timed out waiting for: ${what}`);
    }
    await timers.setTimeout(POLL_MS);
  }
}

/** Returns the URL of a platform's configuration service. */
function getPlatformUrl(platform: { port: number }): string {
  return `http://127.0.0.1:${platform.port}`;
}

/** Creates a fixture that has only a platform. */
export async function createProcessFixture(): Promise<ProcessFixture> {
  const platform = await standIns.startPlatform();
  const fleet = processFleet.createFleet();
  return { fleet, platform, backendServers: [], entries: [], version: 0 };
}

/** Stops all processes and the platform. */
export function stopProcessFixture(fixture: ProcessFixture): void {
  processFleet.stopFleet(fixture.fleet);
  fixture.platform.stop();
}

/** Starts an agent process. */
export function startAgent(
  fixture: ProcessFixture,
  id: string,
  enginePort: unknown,
  overrides: Record<string, unknown> = {},
): Promise<processFleet.RunningProcess> {
  return processFleet.startDaemon(fixture.fleet, 'agent', {
    backendServerId: id,
    service: SERVICE,
    failureDomain: 'suva-loft',
    platform: { configurationUrl: getPlatformUrl(fixture.platform) },
    engineUrl: `http://127.0.0.1:${enginePort}`,
    ...overrides,
  });
}

/** Adds a backend server: an engine with its agent. */
export async function addBackendServer(
  fixture: ProcessFixture,
  engineOptions: Record<string, unknown> = {},
): Promise<TestBackendServer> {
  const id = `runner-${fixture.backendServers.length + 1}`;
  const journalFile = path.join(fixture.fleet.folder, `${id}.journal`);
  fs.writeFileSync(journalFile, '');
  const options = { journalFile, ...engineOptions };
  const engine = await processFleet.startStandIn(fixture.fleet, 'engine', options);
  const agent = await startAgent(fixture, id, engine.started.port);
  const address = `127.0.0.1:${agent.started.linkPort}`;
  const backendServer = { id, engine, agent, journalFile, address };
  fixture.backendServers.push(backendServer);
  return backendServer;
}

/** Builds the next version of the document, with all backend servers of the fixture. */
export function buildNextDocument(
  fixture: ProcessFixture,
  overrides: Record<string, unknown> = {},
): Record<string, unknown> {
  fixture.version += 1;
  return exampleDocument.buildDocument(SERVICE, fixture.version, fixture.backendServers, {
    timing: TIMING,
    ...overrides,
  });
}

/** Publishes the next version of the document. */
export function publishNext(
  fixture: ProcessFixture,
  overrides: Record<string, unknown> = {},
): void {
  fixture.platform.publish(SERVICE, JSON.stringify(buildNextDocument(fixture, overrides)));
}

/** Counts the backend servers that an entry has a live link to. */
async function countLinks(entry: processFleet.RunningProcess): Promise<number> {
  const url = `http://127.0.0.1:${entry.started.operatorPort}/status`;
  const response = await undici.request(url);
  const status = (await response.body.json()) as { backendServers: { state: string }[] };
  return status.backendServers.filter((one) => one.state === 'live').length;
}

/** Adds an entry and waits until it has a live link to every backend server. */
export async function addEntry(
  fixture: ProcessFixture,
  platform: { port: number } = fixture.platform,
  overrides: Record<string, unknown> = {},
): Promise<processFleet.RunningProcess> {
  const entry = await processFleet.startDaemon(fixture.fleet, 'entry', {
    entryId: `entry-${fixture.entries.length + 1}`,
    failureDomain: 'suva-loft',
    services: [SERVICE],
    platform: { configurationUrl: getPlatformUrl(platform) },
    ...overrides,
  });
  fixture.entries.push(entry);
  await entry.waitForLine((line) => line.event === 'document');
  const untilMs = Date.now() + WAIT_MS;
  while ((await countLinks(entry)) < fixture.backendServers.length) {
    if (Date.now() > untilMs) {
      throw new Error('timed out waiting for links to all backend servers');
    }
    await timers.setTimeout(POLL_MS);
  }
  return entry;
}

/** Starts a fixture with the given numbers of backend servers and entries. */
export async function startProcessFixture(
  size: { backendServers: number; entries: number },
  engineOptions: Record<string, unknown> = {},
  overrides: Record<string, unknown> = {},
): Promise<ProcessFixture> {
  const fixture = await createProcessFixture();
  while (fixture.backendServers.length < size.backendServers) {
    await addBackendServer(fixture, engineOptions);
  }
  publishNext(fixture, overrides);
  while (fixture.entries.length < size.entries) {
    await addEntry(fixture);
  }
  return fixture;
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

/** Builds the words of the correct response to a request. */
export function buildExpectedWords(options: ChatOptions): string {
  const word = standIns.hashPrompt(buildBody(options)).slice(0, 8);
  return Array.from({ length: options.tokens ?? 5 }, (_, index) => `${word}-${index} `).join('');
}

/** Sends a request through an entry and waits for the end of the response. */
export async function sendChat(
  entry: processFleet.RunningProcess,
  options: ChatOptions,
): Promise<ChatResponse> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${options.token ?? 'brim-stall'}`,
    'content-type': 'application/json',
    'x-request-timeout-ms': String(options.timeoutMs ?? WAIT_MS),
  };
  if (options.key !== undefined) {
    headers['idempotency-key'] = options.key;
  }
  const url = `http://127.0.0.1:${entry.started.callerPort}`;
  const answer: ChatResponse = { status: 0, text: '', broken: false };
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

/** Parses the words of a response, streamed or not. */
export function readWords(answer: ChatResponse): string {
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

/** Parses the run state of an error response. */
export function readRunState(answer: ChatResponse): string {
  const body = JSON.parse(answer.text) as { error: { run_state: string } };
  return body.error.run_state;
}

/** Reads the lines of all journals that belong to one request, or all lines. */
export function readJournals(fixture: ProcessFixture, options?: ChatOptions): JournalLine[] {
  const lines = fixture.backendServers.flatMap((backendServer) =>
    fs
      .readFileSync(backendServer.journalFile, 'utf8')
      .split('\n')
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as JournalLine),
  );
  const digest = options && standIns.hashPrompt(buildBody(options));
  return lines.filter((line) => digest === undefined || line.promptDigest === digest);
}

/** Counts how often a request was started on any engine. */
export function countStarts(fixture: ProcessFixture, options: ChatOptions): number {
  return readJournals(fixture, options).filter((line) => line.event === 'start').length;
}

/** Waits until an engine has started a request. */
export function waitForStart(fixture: ProcessFixture, options: ChatOptions): Promise<void> {
  return waitUntil(`start of "${options.prompt}"`, () => countStarts(fixture, options) > 0);
}

/** Waits until a process has exited and returns its exit code; null after a signal. */
export async function waitForExit(running: processFleet.RunningProcess): Promise<number | null> {
  const { child } = running;
  await waitUntil('exit', () => child.exitCode !== null || child.signalCode !== null);
  return child.exitCode;
}

/**
 * Sends a request, and resends it while the response is a 503 with run state `not_run`, as a
 * caller would. Returns the first other response, or the last response after a timeout.
 */
export async function sendUntilServed(
  entry: processFleet.RunningProcess,
  options: ChatOptions,
): Promise<ChatResponse> {
  const untilMs = Date.now() + WAIT_MS;
  let answer = await sendChat(entry, options);
  while (answer.status === 503 && readRunState(answer) === 'not_run' && Date.now() < untilMs) {
    await timers.setTimeout(POLL_MS);
    answer = await sendChat(entry, options);
  }
  return answer;
}
