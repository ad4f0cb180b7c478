/** State that an entry keeps for one service, apart from the requests themselves. */
import * as startQueue from '../shared/start-queue.js';
import * as documentIndex from '../shared/document-index.js';
import * as costModel from './cost-model.js';
import * as queueThroughput from '../shared/queue-throughput.js';
import * as durationModel from './duration-model.js';
import * as prefixLocations from './prefix-locations.js';
import * as retryBudget from '../shared/retry-budget.js';

export type ServiceState = {
  service: string;
  /** Index of the active document; undefined before the first one. */
  index: documentIndex.DocumentIndex | undefined;
  /** Backend servers with an open link. */
  linkedIds: Set<string>;
  /** When a link was last open or first wanted, milliseconds since the Unix epoch. */
  lastLinkedMs: number;
  /** Number of requests held, by workspace. */
  heldByWorkspace: Map<string, number>;
  /** Requests that no agent holds. */
  waitingIds: Set<string>;
  /** Waiting requests that are queued until an agent has room, in queue order. */
  parked: startQueue.StartQueue;
  /** Requests that are not known to have started, so that this entry could still shed them. */
  unstarted: startQueue.StartQueue;
  /** Requests withdrawn from agents to make room; the agents have not replied yet. */
  withdrawnIds: Set<string>;
  throughput: queueThroughput.QueueThroughput;
  retryBudget: retryBudget.RetryBudget;
  costs: costModel.CostModel;
  durations: durationModel.DurationModel;
  prefixes: prefixLocations.PrefixLocations;
  /** Number of placements so far. */
  placements: number;
};

/** Retries that are always allowed at first, and the most that the retry budget holds. */
export const MIN_RETRIES = 3;

/** Creates the state of a service without any history. */
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
    retryBudget: retryBudget.createRetryBudget(MIN_RETRIES),
    costs: new Map(),
    durations: new Map(),
    prefixes: new Map(),
    placements: 0,
  };
}
