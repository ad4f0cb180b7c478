/** The entry daemon: joins the core to its tasks. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import type * as bunyan from 'bunyan';
import * as core from '@toucanproxy/core';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as agentLinkTask from './agent-link-task.js';
import * as callerServer from './caller-server.js';
import * as status from './status.js';

export type EntryDaemon = {
  callerPort: number;
  operatorPort: number;
  /** Takes no new requests, lets those in hand end, then stops. */
  shutDown: () => void;
  stop: () => void;
};

type EntryTask = runtime.CoreTask<core.EntryEvent, core.EntryEffect>;

/** The tasks that carry out the core's effects. */
type Parts = {
  logger: bunyan;
  metrics: runtime.Metrics;
  links: agentLinkTask.AgentLinkTask;
  callers: callerServer.CallerServer;
  receiveDocument: (json: string) => void;
  stopped: () => void;
};

type Executors = {
  [K in core.EntryEffect['kind']]: (effect: Extract<core.EntryEffect, { kind: K }>) => void;
};

type Readers = {
  settings: schema.EntrySettings;
  state: core.EntryState;
  logger: bunyan;
  receiveDocument: (json: string) => void;
  task: EntryTask;
};

const DEFAULT_WATCH_WAIT_MS = 30_000;
const DEFAULT_HOST = '127.0.0.1';
const LIFE_BYTES = 6;

/** Reads the key for content digests; a key of this life where none is set. */
function readDigestKey(path: string): string {
  return path === '' ? crypto.randomUUID() : fs.readFileSync(path, 'utf8').trim();
}

/** Names the task that carries out each effect. */
function buildExecutors(parts: Parts): Executors {
  const { logger, metrics, links, callers } = parts;
  return {
    openLink: (effect) => links.open(effect.backendServerId, effect.address),
    closeLink: (effect) => links.close(effect.backendServerId),
    sendToAgent: (effect) => links.send(effect.backendServerId, effect.message),
    answerHead: callers.answer,
    answerData: callers.answer,
    answerEnd: callers.answer,
    answerFailure: callers.answer,
    documentReceived: (effect) => parts.receiveDocument(effect.json),
    stopped: () => {
      logger.info({ event: 'stopped' }, 'stopped');
      parts.stopped();
    },
    log: (effect) => runtime.writeLog(logger, effect),
    observe: (effect) => runtime.recordObservation(metrics, effect.observation),
  };
}

/** Creates the state of a new life of this entry. */
function createState(settings: schema.EntrySettings): core.EntryState {
  const { entryId, failureDomain, services } = settings;
  const linksPerService = settings.linksPerService || core.computeLinksPerService(services.length);
  const life = crypto.randomBytes(LIFE_BYTES).toString('hex');
  const policy = {
    chooseBackendServer: core.chooseLeastOutstanding,
    drawRandom: Math.random,
  };
  return core.createEntryState({ entryId, life, failureDomain, linksPerService }, policy);
}

/** Starts the tasks that read what the platform publishes. */
function startReaders(readers: Readers): { stop: () => void }[] {
  const { settings, state, logger, receiveDocument, task } = readers;
  const watches = settings.services.map((service) =>
    runtime.startConfigurationWatch({
      configurationUrl: settings.platform?.configurationUrl ?? '',
      service,
      waitMs: settings.platform?.watchWaitMs || DEFAULT_WATCH_WAIT_MS,
      getVersion: () => core.getVersion(state.documents, service),
      receiveDocument,
      reportFailure: (reason) => logger.warn({ event: 'configuration-failed', service, reason }),
      drawRandom: Math.random,
    }),
  );
  const vmList = runtime.startVmListPoll({
    vmListUrl: settings.platform?.vmListUrl ?? '',
    receiveLeaving: (addresses) => task.post({ kind: 'vmsLeaving', addresses }),
    reportFailure: (reason) => logger.warn({ event: 'vm-list-failed', reason }),
    drawRandom: Math.random,
  });
  return [...watches, vmList];
}

/** Starts an entry. `stopped` is called once after a graceful shutdown. */
export async function startEntry(
  settings: schema.EntrySettings,
  stopped: () => void,
): Promise<EntryDaemon> {
  const state = createState(settings);
  const { entryId, life } = state;
  const logger = runtime.createLogger('toucanproxy-entry', { entry: entryId, life });
  const metrics = runtime.createMetrics();
  const task: EntryTask = runtime.createCoreTask({
    state,
    handleEvent: core.handleEntryEvent,
    readClock: Date.now,
    buildTick: (): core.EntryEvent => ({ kind: 'ticked' }),
  });
  const receiveDocument = runtime.createDocumentReceiver(logger, task.post);
  const links = agentLinkTask.createAgentLinkTask(task.post);
  const callers = await callerServer.startCallerServer({
    host: settings.callers?.host ?? DEFAULT_HOST,
    port: settings.callers?.port ?? 0,
    limits: settings.callerLimits,
    digestKey: readDigestKey(settings.digestKeyFile),
    post: task.post,
  });
  const executors = buildExecutors({ logger, metrics, links, callers, receiveDocument, stopped });
  task.start((effect) => executors[effect.kind](effect as never));
  const operators = await runtime.startOperatorServer({
    host: settings.operators?.host ?? DEFAULT_HOST,
    port: settings.operators?.port ?? 0,
    renderMetrics: () => runtime.renderMetrics(metrics),
    describeStatus: () => status.describeStatus(state),
  });
  const readers = startReaders({ settings, state, logger, receiveDocument, task });
  const ports = { callerPort: callers.port, operatorPort: operators.port };
  logger.info({ event: 'started', ...ports }, 'started');
  return {
    ...ports,
    shutDown: () => task.post({ kind: 'shutdownStarted' }),
    stop: () => [...readers, task, links, callers, operators].forEach((part) => part.stop()),
  };
}
