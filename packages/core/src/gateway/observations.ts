/** What a gateway sees of backend servers and tells their schedulers. */
import * as schema from '@toucanproxy/schema';
import * as pendingAsks from './pending-asks.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';

/** Notes something about the backend server that has a request. */
function noteOfRequest(
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

/** Notes how long a request waited for its first event at its backend server. */
export function noteFirstEvent(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  ms: number,
  now: number,
): void {
  const { FIRST_EVENT } = schema.ServerObservation_Kind;
  noteOfRequest(state, request, FIRST_EVENT, ms - request.idleFirstMs, now);
}

/** Notes the time of one unit of work: an event, or a plain answer, milliseconds. */
export function noteUnit(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  unitMs: number,
  now: number,
): void {
  noteOfRequest(state, request, schema.ServerObservation_Kind.UNIT, unitMs, now);
}

/** Notes a good answer. */
export function noteGoodAnswer(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  noteOfRequest(state, request, schema.ServerObservation_Kind.GOOD_ANSWER, 0, now);
}
