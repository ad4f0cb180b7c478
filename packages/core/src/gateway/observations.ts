/** Records observations of backend servers that this gateway reports to their schedulers. */
import * as schema from '@toucanproxy/schema';
import * as scheduler from '../scheduler/index.js';
import * as pendingAsks from './pending-asks.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';

/**
 * When a prompt of this many tokens has been read, the scheduler is told at once: the engine can
 * take the next prompt some tens of milliseconds sooner than the next regular ask would say.
 */
const MIN_REPORTED_TOKENS = 2000;

/** Records an observation of the backend server that a request is assigned to. */
function noteRequestObservation(
  state: gatewayState.GatewayState,
  { serverId, service }: gatewayRequest.GatewayRequest,
  kind: schema.ServerObservation_Kind,
  ms: number,
  now: number,
): void {
  if (serverId !== undefined) {
    pendingAsks.noteObservation(state, { serverId, service }, kind, ms, now);
  }
}

/**
 * Records how long a request waited for the first event from its backend server, less the predicted
 * time on an idle backend server.
 */
export function noteFirstEvent(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  ms: number,
  now: number,
): void {
  const { FIRST_EVENT } = schema.ServerObservation_Kind;
  const { serverId, service, idleFirstMs, aheadMs, arrived } = request;
  request.hasFirstEvent = true;
  request.firstEventMs = now;
  if (serverId !== undefined) {
    const promptTokens = arrived.tokens?.prompt ?? 0;
    const prompt = { promptTokens, aheadMs, totalMs: scheduler.toWireNumber(ms) };
    const server = { serverId, service };
    pendingAsks.noteObservation(state, server, FIRST_EVENT, ms - idleFirstMs, now, prompt);
    if (promptTokens >= MIN_REPORTED_TOKENS) {
      pendingAsks.markLinkDirty(state, serverId, service);
    }
  }
}

/** Records the time of one unit of work, an event or a plain response, in milliseconds. */
export function noteUnit(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  unitMs: number,
  now: number,
): void {
  noteRequestObservation(state, request, schema.ServerObservation_Kind.UNIT, unitMs, now);
}

/** Records a successful response. */
export function noteGoodAnswer(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  noteRequestObservation(state, request, schema.ServerObservation_Kind.GOOD_ANSWER, 0, now);
}
