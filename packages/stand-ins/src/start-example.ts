/**
 * Starts a worked example on the stand-ins: `npm start`, or
 * `npm start -- --deployment cooperative --runners 13`.
 *
 * The stand-ins of engines and platform run in this process; each entry and each
 * agent is a process of its own with a settings file. Ctrl-C stops all.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as util from 'node:util';
import * as engine from './engine.js';
import * as exampleKey from './example-key.js';
import * as exampleDeployments from './example-deployments.js';
import * as exampleProcesses from './example-processes.js';
import * as plainService from './plain-service.js';
import * as platform from './platform.js';

const DEFAULT_DEPLOYMENT = 'quebrada';
/** Maximum number of backend servers per service; `--runners 13` starts all of them. */
const DEFAULT_BACKEND_SERVERS = '2';
const ENTRY_COUNT = 2;
/** An agent binds only keys that were issued more than twice the clock skew after its start. */
const KEYS_READY_MS = 3 * exampleDeployments.CLOCK_SKEW_MS;
const SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/**
 * Time in which the agents of the example start, milliseconds. Earlier calls do
 * no harm, as these agents are not restarted.
 */
const START_UP_MS = 60_000;

/** The processes of a started example and what they were started with. */
type RunningExample = {
  folder: string;
  configurationUrl: string;
  deployment: exampleDeployments.ExampleDeployment;
  runners: number;
  firstTrafficMs: number;
  agents: exampleProcesses.ExampleProcess[];
  entries: exampleProcesses.ExampleProcess[];
};

/** Starts the engine or the plain service of one backend server and returns its URL. */
async function startEngineOrService(kind: exampleDeployments.EngineKind): Promise<string> {
  const started =
    kind === exampleDeployments.EngineKind.PLAIN
      ? await plainService.startPlainService({})
      : // The engines share this process, so a simulated crash must not end it.
        await engine.startEngine({ crash: () => {} });
  return `http://127.0.0.1:${started.port}`;
}

/** Starts one backend server with its agent. */
async function startBackendServer(
  running: RunningExample,
  service: exampleDeployments.ExampleService,
  index: number,
): Promise<exampleDeployments.ExampleServer> {
  const { failureDomains } = running.deployment;
  const id = `${service.name}-${index + 1}`;
  const failureDomain = failureDomains[index % failureDomains.length];
  const agent = await exampleProcesses.startExampleProcess(running.folder, 'agent', id, {
    backendServerId: id,
    service: service.name,
    failureDomain,
    platform: { configurationUrl: running.configurationUrl },
    engineUrl: await startEngineOrService(service.engineKind),
    firstTrafficMs: running.firstTrafficMs,
  });
  running.agents.push(agent);
  return { id, address: `127.0.0.1:${agent.started.linkPort}`, failureDomain };
}

/** Starts the backend servers of one service and publishes its document. */
async function startService(
  running: RunningExample,
  service: exampleDeployments.ExampleService,
  publish: (service: string, json: string) => void,
): Promise<void> {
  const count = Math.min(service.runners, running.runners);
  const indexes = Array.from({ length: count }, (_, index) => index);
  const servers = await Promise.all(
    indexes.map((index) => startBackendServer(running, service, index)),
  );
  const document = exampleDeployments.buildExampleDocument(service, servers);
  const json = JSON.stringify(document, undefined, 2);
  fs.writeFileSync(path.join(running.folder, `${service.name}.document.json`), json);
  publish(service.name, json);
}

/** Starts one entry, which serves all services. */
async function startEntry(running: RunningExample, index: number): Promise<void> {
  const { failureDomains, services } = running.deployment;
  const id = `entry-${index + 1}`;
  const digestKeyFile = path.join(running.folder, 'digest.key');
  const settings = {
    entryId: id,
    failureDomain: failureDomains[index % failureDomains.length],
    services: services.map((service) => service.name),
    platform: { configurationUrl: running.configurationUrl },
    digestKeyFile,
  };
  const entry = await exampleProcesses.startExampleProcess(
    running.folder,
    'entry',
    id,
    settings,
    services.length,
  );
  running.entries.push(entry);
}

/** Formats the addresses and the commands to try, which are printed once all is started. */
function formatGuide(running: RunningExample): string {
  const [first] = running.entries;
  const baseUrl = `http://127.0.0.1:${first.started.callerPort}`;
  const calls = running.deployment.services
    .flatMap((service) => service.calls)
    .flatMap(([title, token, args]) => {
      const filled = args.replace('URL', baseUrl).replace('KEY', exampleKey.makeKey(Date.now()));
      return [`# ${title}`, `curl -sS -H 'authorization: Bearer ${token}' ${filled}`, ''];
    });
  const operators = [...running.entries, ...running.agents].map(
    (one) => `127.0.0.1:${one.started.operatorPort}`,
  );
  return [
    `Settings, documents and logs: ${running.folder}`,
    ...running.entries.map((one) => `${one.name}: http://127.0.0.1:${one.started.callerPort}`),
    '',
    ...calls,
    '# state of every process',
    `npx toucanproxy status ${operators.join(' ')}`,
    '',
    '# log lines of one request, by the x-request-id of its response (curl -i shows it)',
    `npx toucanproxy explain REQUEST_ID ${running.folder}/*.log`,
    '',
    'Ready. Ctrl-C stops all.',
    '',
  ].join('\n');
}

/** Stops entries before agents, so that the requests of the entries can still complete. */
async function stopAll(running: RunningExample): Promise<void> {
  await exampleProcesses.stopExampleProcesses(running.entries);
  await exampleProcesses.stopExampleProcesses(running.agents);
}

/** Starts the platform, all backend servers with their agents, and the entries. */
async function startExample(): Promise<RunningExample> {
  const { values } = util.parseArgs({
    options: {
      deployment: { type: 'string', default: DEFAULT_DEPLOYMENT },
      runners: { type: 'string', default: DEFAULT_BACKEND_SERVERS },
    },
  });
  const deployment = exampleDeployments.EXAMPLE_DEPLOYMENTS[values.deployment];
  if (deployment === undefined) {
    const names = Object.keys(exampleDeployments.EXAMPLE_DEPLOYMENTS).join(', ');
    throw new Error(`--deployment: found ${values.deployment}; allowed: ${names}`);
  }
  const started = await platform.startPlatform();
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'toucanproxy-example-'));
  fs.writeFileSync(path.join(folder, 'digest.key'), crypto.randomUUID());
  const running: RunningExample = {
    folder,
    configurationUrl: `http://127.0.0.1:${started.port}`,
    firstTrafficMs: Date.now() + START_UP_MS,
    deployment,
    runners: Number(values.runners),
    agents: [],
    entries: [],
  };
  const stop = () => {
    process.stdout.write('Stopping.\n');
    stopAll(running).finally(() => process.exit());
  };
  SIGNALS.forEach((signal) => process.once(signal, stop));
  await Promise.all(
    deployment.services.map((service) => startService(running, service, started.publish)),
  );
  const indexes = Array.from({ length: ENTRY_COUNT }, (_, index) => index);
  await Promise.all(indexes.map((index) => startEntry(running, index)));
  await timers.setTimeout(KEYS_READY_MS);
  return running;
}

process.stdout.write(formatGuide(await startExample()));
