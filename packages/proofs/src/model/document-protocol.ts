/**
 * Specification of how a new document version becomes active: one service, an entry,
 * two agents, and a document whose version 2 marks agent A as leaving.
 *
 * The platform may answer any read with any version published so far. Processes announce
 * their versions to each other. Messages stay on the network, which covers loss, duplication
 * and delay. A restarted process has lost all its state. `life` counts the incarnations of
 * a process.
 */
import * as explore from './explore.js';

export type ProcessId = 'E' | 'A' | 'B';
type AgentId = 'A' | 'B';

type Process = { life: number; version: number };

/** The version that an agent last announced to the entry's current incarnation. */
type KnownVersion = { life: number; version: number };

type Message =
  | { kind: 'show'; from: ProcessId; life: number; version: number }
  | { kind: 'offer'; to: AgentId; life: number };

/** A violation caused by a step; kept in the world, so that the explorer finds it. */
type Fault = 'version went down' | 'started while leaving' | 'offered on an older document';

export type World = {
  published: number;
  processes: Record<ProcessId, Process>;
  seen: Record<AgentId, KnownVersion | null>;
  network: Message[];
  restartsLeft: number;
  faults: Fault[];
};

export type Step =
  | { type: 'publish' }
  | { type: 'read'; process: ProcessId; version: number }
  | { type: 'show'; process: ProcessId }
  | { type: 'deliver'; message: Message; to: ProcessId }
  | { type: 'offer'; to: AgentId }
  | { type: 'restart'; process: ProcessId };

export type Safeguards = {
  /** A process applies only a higher version. */
  versionsOnlyUp: boolean;
  /** An agent that knows it is leaving refuses offers. */
  leavingRefuses: boolean;
  /** The entry offers nothing to an agent before that agent has announced its version. */
  waitsForPeer: boolean;
};

export const ALL_SAFEGUARDS: Safeguards = {
  versionsOnlyUp: true,
  leavingRefuses: true,
  waitsForPeer: true,
};

const PROCESS_IDS: readonly ProcessId[] = ['E', 'A', 'B'];
const AGENT_IDS: readonly AgentId[] = ['A', 'B'];
const LEAVING_VERSION = 2;

/** Creates the world before any process has a document. */
function createWorld(restarts: number): World {
  const fresh = (): Process => ({ life: 1, version: 0 });
  return {
    published: 1,
    processes: { E: fresh(), A: fresh(), B: fresh() },
    seen: { A: null, B: null },
    network: [],
    restartsLeft: restarts,
    faults: [],
  };
}

/** Adds a message to the network, unless it is there already. */
function send(world: World, message: Message): void {
  const text = JSON.stringify(message);
  if (!world.network.some((other) => JSON.stringify(other) === text)) {
    world.network.push(message);
  }
}

/** Makes a version active at a process. */
function applyVersion(world: World, id: ProcessId, version: number, safeguards: Safeguards): void {
  const process = world.processes[id];
  if (version < process.version && !safeguards.versionsOnlyUp) {
    world.faults.push('version went down');
  }
  if (version > process.version || !safeguards.versionsOnlyUp) {
    process.version = version;
  }
}

/** Whether the entry may offer work to an agent. */
function isOfferAllowed(world: World, to: AgentId, safeguards: Safeguards): boolean {
  const { version } = world.processes.E;
  const shown = world.seen[to];
  const known = shown !== null && version >= shown.version;
  const leaving = to === 'A' && version >= LEAVING_VERSION;
  return version > 0 && !leaving && (known || !safeguards.waitsForPeer);
}

/** Offers work to an agent, which may have announced its version over the same link. */
function offer(world: World, to: AgentId): void {
  const shown = world.seen[to];
  const peer = world.processes[to];
  // The entry can know only what the peer announced in its current incarnation.
  const knows = world.network.some(
    (one) => one.kind === 'show' && one.from === to && one.life === peer.life,
  );
  const behind = knows && peer.version > world.processes.E.version && shown === null;
  if (behind) {
    world.faults.push('offered on an older document');
  }
  send(world, { kind: 'offer', to, life: shown?.life ?? peer.life });
}

/** Delivers a message to a process. */
function deliver(world: World, message: Message, to: ProcessId, safeguards: Safeguards): void {
  if (message.kind === 'show') {
    applyVersion(world, to, message.version, safeguards);
    if (to === 'E' && message.from !== 'E') {
      const { life, version } = message;
      const known = world.seen[message.from];
      const later = known === null || life > known.life || version > known.version;
      world.seen[message.from] = later ? { life, version } : known;
    }
    return;
  }
  const agent = world.processes[message.to];
  const leaving = message.to === 'A' && agent.version >= LEAVING_VERSION;
  if (message.life === agent.life && leaving && !safeguards.leavingRefuses) {
    world.faults.push('started while leaving');
  }
}

/** Restarts a process, which loses its state. */
function restart(world: World, id: ProcessId): void {
  world.restartsLeft -= 1;
  world.processes[id] = { life: world.processes[id].life + 1, version: 0 };
  if (id === 'E') {
    world.seen = { A: null, B: null };
  }
}

/** Lists the steps that one process may take next. */
function listProcessSteps(world: World, id: ProcessId): Step[] {
  const versions = Array.from({ length: world.published }, (_, index) => index + 1);
  const reads = versions.map((version): Step => ({ type: 'read', process: id, version }));
  const shows: Step[] = world.processes[id].version > 0 ? [{ type: 'show', process: id }] : [];
  const restarts: Step[] = world.restartsLeft > 0 ? [{ type: 'restart', process: id }] : [];
  return [...reads, ...shows, ...restarts];
}

/** Lists the possible receivers of a message. */
function listReceivers(message: Message): ProcessId[] {
  if (message.kind === 'offer') {
    return [message.to];
  }
  return message.from === 'E' ? ['A', 'B'] : ['E'];
}

/** Lists every step that is possible in a world. */
function listSteps(world: World, safeguards: Safeguards): Step[] {
  const offers = AGENT_IDS.filter((id) => isOfferAllowed(world, id, safeguards));
  return [
    ...(world.published < LEAVING_VERSION ? [{ type: 'publish' } as const] : []),
    ...PROCESS_IDS.flatMap((id) => listProcessSteps(world, id)),
    ...offers.map((to): Step => ({ type: 'offer', to })),
    ...world.network.flatMap((message) =>
      listReceivers(message).map((to): Step => ({ type: 'deliver', message, to })),
    ),
  ];
}

/** Applies one step to a copy of a world. */
function applyStep(before: World, step: Step, safeguards: Safeguards): World {
  const world = structuredClone(before);
  switch (step.type) {
    case 'publish':
      world.published += 1;
      return world;
    case 'read':
      applyVersion(world, step.process, step.version, safeguards);
      return world;
    case 'show':
      send(world, { kind: 'show', from: step.process, ...world.processes[step.process] });
      return world;
    case 'deliver':
      deliver(world, step.message, step.to, safeguards);
      return world;
    case 'offer':
      offer(world, step.to);
      return world;
    default:
      restart(world, step.process);
      return world;
  }
}

/** Formats a world as text that doesn't depend on the order in which messages were sent. */
function formatWorld(world: World): string {
  const network = world.network.map((message) => JSON.stringify(message)).sort();
  return JSON.stringify({ ...world, network });
}

/** Builds the specification with the given safeguards enabled. */
export function buildDocumentSpecification(
  safeguards: Safeguards,
  restarts: number,
): explore.Specification<World, Step> {
  return {
    initial: createWorld(restarts),
    listSteps: (world) => listSteps(world, safeguards),
    applyStep: (world, step) => applyStep(world, step, safeguards),
    findBroken: (world) => world.faults,
    formatWorld,
  };
}
