/** What an entry keeps for one service beside its requests. */
import * as startQueue from '../shared/start-queue.js';
import * as documentIndex from '../shared/document-index.js';
import * as costModel from './cost-model.js';
import * as queueThroughput from '../shared/queue-throughput.js';
import * as durationModel from './duration-model.js';
import * as prefixLocations from './prefix-locations.js';
import * as retryBudget from '../shared/retry-budget.js';

export type ServiceState = {
  service: string;
  /** Of the document in force; undefined before the first. */
  index: documentIndex.DocumentIndex | undefined;
  /** Backend servers with an open link. */
  linkedIds: Set<string>;
  /** When a link was last open or first wanted, milliseconds. */
  lastLinkedMs: number;
  /** Requests held of each workspace. */
  heldByWorkspace: Map<string, number>;
  /** Requests that no agent holds. */
  waitingIds: Set<string>;
  /** Those of them that wait for room at any agent, in the order of their turn. */
  parked: startQueue.StartQueue;
  /** Requests not known to have started, that this entry could still shed. */
  unstarted: startQueue.StartQueue;
  /** Requests withdrawn from agents to make room; their agents have not replied. */
  withdrawnIds: Set<string>;
  throughput: queueThroughput.QueueThroughput;
  retryBudget: retryBudget.RetryBudget;
  costs: costModel.CostModel;
  durations: durationModel.DurationModel;
  prefixes: prefixLocations.PrefixMemory;
  /** Placements so far. */
  placements: number;
};

/** Creates the state of a service of which nothing is known. */
export function createServiceState(service: string): ServiceState {
  return {
    service,
    index: undefined,
    linkedIds: new Set(),
    lastLinkedMs: 0,
    heldByWorkspace: new Map(),
    waitingIds: new Set(),
    parked: startQueue.createStartQueue(),
    unstarted: startQueue.createStartQueue(),
    withdrawnIds: new Set(),
    throughput: queueThroughput.createQueueThroughput(),
    retryBudget: retryBudget.createRetryBudget(),
    costs: new Map(),
    durations: new Map(),
    prefixes: new Map(),
    placements: 0,
  };
}
