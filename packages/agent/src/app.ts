/** The agent daemon: connects the agent's core to the tasks that do its I/O. */
import * as crypto from 'node:crypto';
import type * as bunyan from 'bunyan';
import * as core from '@toucanproxy/core';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as engineClient from './engine-client.js';
import * as engineProbe from './engine-probe.js';
import * as gauges from './gauges.js';
import * as status from './status.js';

export type AgentDaemon = {
  linkPort: number;
  operatorPort: number;
  /** Graceful shutdown: refuses new work, waits for running attempts, then stops. */
  shutDown: () => void;
  stop: () => void;
};

type AgentTask = runtime.CoreTask<core.AgentEvent, core.AgentEffect>;

/** The state and the tasks that the executors of effects use. */
type DaemonParts = {
  state: core.AgentState;
  logger: bunyan;
  metrics: runtime.Metrics;
  links: runtime.LinkServer;
  engine: engineClient.EngineClient;
  receiveDocument: (json: string) => void;
  stopped: () => void;
};

type Executors = {
  [K in core.AgentEffect['kind']]: (effect: Extract<core.AgentEffect, { kind: K }>) => void;
};

const DEFAULT_WATCH_WAIT_MS = 30_000;
const DEFAULT_HOST = '127.0.0.1';

/** Maps each kind of effect to the function that carries it out. */
function buildExecutors(parts: DaemonParts): Executors {
  const { state, logger, metrics, links, engine } = parts;
  return {
    sendToEntry: (effect) => links.send(effect.linkId, effect.message),
    closeLink: (effect) => links.closeLink(effect.linkId),
    startOnEngine: (effect) => engine.start(effect.refKey, effect.offer),
    cancelOnEngine: (effect) => engine.cancel(effect.refKey),
    documentReceived: (effect) => parts.receiveDocument(effect.json),
    stopped: () => {
      logger.info({ event: 'stopped' }, 'stopped');
      parts.stopped();
    },
    log: (effect) => {
      runtime.applyLogLevel(logger, state.documents);
      runtime.writeLog(logger, effect);
    },
    observe: (effect) => runtime.recordObservation(metrics, effect.observation),
  };
}

/** Starts the server for links from entries. */
function startLinks(settings: schema.AgentSettings, task: AgentTask): Promise<runtime.LinkServer> {
  return runtime.startLinkServer({
    host: settings.links?.host ?? DEFAULT_HOST,
    port: settings.links?.port ?? 0,
    onOpened: (linkId) => task.post({ kind: 'linkOpened', linkId }),
    receive: (linkId, message) => task.post({ kind: 'entryMessage', linkId, message }),
    onClosed: (linkId) => task.post({ kind: 'linkClosed', linkId }),
  });
}

/** Creates the state of a new process incarnation of this agent. */
function createState(settings: schema.AgentSettings): core.AgentState {
  const { backendServerId, service, firstTrafficMs } = settings;
  const life = crypto.randomUUID();
  return core.createAgentState({ backendServerId, service, life, firstTrafficMs }, Date.now());
}

/** Creates the client of the engine. */
function createEngine(
  { engineUrl }: schema.AgentSettings,
  { documents, service }: core.AgentState,
  { post }: AgentTask,
  { logger, metrics }: Pick<DaemonParts, 'logger' | 'metrics'>,
  onFault: () => void,
): engineClient.EngineClient {
  return engineClient.createEngineClient({
    engineUrl,
    isModelEngine: () => documents.get(service)?.document.kind === schema.ServiceKind.MODEL,
    post,
    onFault,
    onExtraResponse: (refKey) => {
      runtime.addCount(metrics, 'extra_responses_total', { service });
      logger.warn({ event: 'extra-response', refKey }, 'extra-response');
    },
  });
}

/** Starts to poll whether the platform lists this VM as leaving. */
function startVmList(
  settings: schema.AgentSettings,
  linkPort: number,
  task: AgentTask,
  logger: bunyan,
): runtime.VmListPoll {
  const host = settings.links?.host ?? DEFAULT_HOST;
  const ownAddress = `${host}:${linkPort}`;
  return runtime.startVmListPoll({
    vmListUrl: settings.platform?.vmListUrl ?? '',
    receiveLeaving: (addresses) => {
      const leaving = addresses.includes(ownAddress);
      task.post({ kind: 'vmLeaving', leaving });
    },
    reportFailure: (reason) => logger.warn({ event: 'vm-list-failed', reason }),
    drawRandom: Math.random,
  });
}

/** Starts an agent. `stopped` is called once, after a graceful shutdown. */
export async function startAgent(
  settings: schema.AgentSettings,
  stopped: () => void,
): Promise<AgentDaemon> {
  const state = createState(settings);
  const { backendServerId, service, life } = state;
  const logger = runtime.createLogger('toucanproxy-agent', { agent: backendServerId, life });
  const metrics = runtime.createMetrics();
  const task: AgentTask = runtime.createCoreTask({
    state,
    handleEvent: core.handleAgentEvent,
    readClock: Date.now,
    buildTick: (): core.AgentEvent => ({ kind: 'ticked' }),
  });
  const probe = engineProbe.startEngineProbe({
    engineUrl: settings.engineUrl,
    report: (available) => task.post({ kind: 'engineAvailable', available }),
  });
  const engine = createEngine(settings, state, task, { logger, metrics }, probe.probeSoon);
  const receiveDocument = runtime.createDocumentReceiver(logger, task.post);
  const links = await startLinks(settings, task);
  const parts = { state, logger, metrics, links, engine, receiveDocument, stopped };
  const executors = buildExecutors(parts);
  task.start((effect) => executors[effect.kind](effect as never));
  const operators = await runtime.startOperatorServer({
    host: settings.operators?.host ?? DEFAULT_HOST,
    port: settings.operators?.port ?? 0,
    renderMetrics: () => runtime.renderMetrics(metrics, Date.now(), gauges.listGauges(state)),
    describeStatus: () => status.describeStatus(state),
    isReady: () => !state.leaving,
  });
  const watch = runtime.startConfigurationWatch({
    configurationUrl: settings.platform?.configurationUrl ?? '',
    service,
    waitMs: settings.platform?.watchWaitMs || DEFAULT_WATCH_WAIT_MS,
    getVersion: () => core.getVersion(state.documents, service),
    receiveDocument,
    reportFailure: (reason) => logger.warn({ event: 'configuration-failed', reason }),
    drawRandom: Math.random,
  });
  const vmList = startVmList(settings, links.port, task, logger);
  const ports = { linkPort: links.port, operatorPort: operators.port };
  logger.info({ event: 'started', ...ports }, 'started');
  return {
    ...ports,
    shutDown: () => task.post({ kind: 'shutdownStarted' }),
    stop: () =>
      [watch, vmList, task, links, operators, probe, engine].forEach((part) => part.stop()),
  };
}
