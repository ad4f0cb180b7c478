/** The entry daemon: connects the core to the tasks that carry out its effects. */
import * as crypto from 'node:crypto';
import type * as bunyan from 'bunyan';
import * as core from '@toucanproxy/core';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as agentLinkTask from './agent-link-task.js';
import * as callerServer from './caller-server.js';
import * as contentDigest from './content-digest.js';
import * as gauges from './gauges.js';
import * as status from './status.js';

export type EntryDaemon = {
  callerPort: number;
  operatorPort: number;
  /** Stops accepting requests, lets the ones in flight end, then stops. */
  shutDown: () => void;
  stop: () => void;
};

type EntryTask = runtime.CoreTask<core.EntryEvent, core.EntryEffect>;

/** The tasks and callbacks that carry out the core's effects. */
type Components = {
  state: core.EntryState;
  logger: bunyan;
  metrics: runtime.Metrics;
  links: agentLinkTask.AgentLinkTask;
  callers: callerServer.CallerServer;
  receiveDocument: (json: string) => void;
  stopped: () => void;
};

type EffectHandlers = {
  [K in core.EntryEffect['kind']]: (effect: Extract<core.EntryEffect, { kind: K }>) => void;
};

type ReaderOptions = {
  settings: schema.EntrySettings;
  state: core.EntryState;
  logger: bunyan;
  receiveDocument: (json: string) => void;
  task: EntryTask;
};

const LIFE_BYTES = 6;

/** Builds the handler of each effect. */
function buildEffectHandlers(components: Components): EffectHandlers {
  const { state, logger, metrics, links, callers } = components;
  return {
    openLink: (effect) => links.open(effect.backendServerId, effect.address),
    closeLink: (effect) => links.close(effect.backendServerId),
    sendToAgent: (effect) => links.send(effect.backendServerId, effect.message),
    answerHead: callers.applyEffect,
    answerData: callers.applyEffect,
    answerEnd: callers.applyEffect,
    answerFailure: callers.applyEffect,
    documentReceived: (effect) => components.receiveDocument(effect.json),
    // The core has ended every request, but the last bytes may not have been sent
    // yet.
    stopped: () =>
      callers.notifyIdle(() => {
        logger.info({ event: 'stopped' }, 'stopped');
        components.stopped();
      }),
    log: (effect) => {
      runtime.applyLogLevel(logger, state.documents);
      runtime.writeLog(logger, effect);
    },
    observe: (effect) => runtime.recordObservation(metrics, effect.observation),
  };
}

/** Creates the state of a new incarnation of this entry (`life` in code and logs). */
function createState(settings: schema.EntrySettings): core.EntryState {
  const { entryId, failureDomain, services } = settings;
  const linksPerService = settings.linksPerService || core.computeLinksPerService(services.length);
  const life = crypto.randomBytes(LIFE_BYTES).toString('hex');
  const policy = core.createLateBindingPolicy(Math.random);
  return core.createEntryState({ entryId, life, failureDomain, linksPerService }, policy);
}

/** Starts the tasks that read documents and the VM list from the platform. */
function startReaders(readers: ReaderOptions): { stop: () => void }[] {
  const { settings, state, logger, receiveDocument, task } = readers;
  const watches = settings.services.map((service) =>
    runtime.startConfigurationWatch({
      configurationUrl: settings.platform?.configurationUrl ?? '',
      service,
      waitMs: settings.platform?.watchWaitMs ?? 0,
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

/** Starts to listen for callers. */
function startCallerListener(
  settings: schema.EntrySettings,
  task: EntryTask,
  state: core.EntryState,
  report: { logger: bunyan; metrics: runtime.Metrics },
): Promise<callerServer.CallerServer> {
  const { callers, callerLimits, services, digestKeyFile } = settings;
  const { logger, metrics } = report;
  if (digestKeyFile === '') {
    logger.warn({ event: 'digest-key-default' }, 'digest-key-default');
  }
  const digestKey = contentDigest.readDigestKey(digestKeyFile);
  const { documents } = state;
  return callerServer.startCallerServer({
    host: callers?.host ?? '',
    port: callers?.port ?? 0,
    limits: {
      ...schema.getCallerLimits(callerLimits),
      reportSlowCaller: (callerId, unreadBytes) => {
        logger.warn({ event: 'caller-cut', callerId, unreadBytes }, 'caller-cut');
        runtime.addCount(metrics, 'callers_cut_total', {});
      },
    },
    context: { documents, services, digestKey, bodyBudget: { usedBytes: 0 } },
    post: task.post,
    reportRefusal: (code) => {
      logger.info({ event: 'rejected', code, result: schema.ResultCode[code] }, 'rejected');
      const outcome = { kind: 'outcome', service: '', tier: '', code, inTime: false } as const;
      runtime.recordObservation(metrics, outcome);
    },
  });
}

/** Starts an entry. `stopped` is called once, after a graceful shutdown. */
export async function startEntry(
  given: schema.EntrySettings,
  stopped: () => void,
): Promise<EntryDaemon> {
  const settings = schema.applyEntryDefaults(given);
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
  const callers = await startCallerListener(settings, task, state, { logger, metrics });
  const components = { state, logger, metrics, links, callers, receiveDocument, stopped };
  const effectHandlers = buildEffectHandlers(components);
  task.start((effect) => effectHandlers[effect.kind](effect as never));
  const operators = await runtime.startOperatorServer({
    host: settings.operators?.host ?? '',
    port: settings.operators?.port ?? 0,
    renderMetrics: () => {
      const now = Date.now();
      return runtime.renderMetrics(metrics, now, gauges.listGauges(state, now));
    },
    describeStatus: () => status.describeStatus(state, Date.now()),
    isReady: () => !state.shutdownStarted,
  });
  const readers = startReaders({ settings, state, logger, receiveDocument, task });
  const ports = { callerPort: callers.port, operatorPort: operators.port };
  logger.info({ event: 'started', ...ports }, 'started');
  return {
    ...ports,
    shutDown: () => {
      callers.stopListening(() => logger.info({ event: 'shutdown' }, 'shutdown'));
      task.post({ kind: 'shutdownStarted', graceMs: settings.graceMs });
    },
    stop: () => [...readers, task, links, callers, operators].forEach((part) => part.stop()),
  };
}
