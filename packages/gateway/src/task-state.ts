/** What a gateway task owns. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as backendConnections from './backend-connections.js';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewayMetrics from './gateway-metrics.js';
import type * as heldRequest from './held-request.js';
import type * as unknownNames from './unknown-names.js';
import type * as wireProtocol from './wire-protocol.js';

export type GatewayTaskParts = {
  state: gateway.GatewayState;
  protocol: wireProtocol.WireProtocol;
  connections: backendConnections.BackendConnections;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
  metrics: gatewayMetrics.GatewayMetrics;
  unknown: unknownNames.UnknownNames;
  sendToPeers: (outgoing: readonly gateway.OutgoingMessage[]) => void;
};

export type TaskState = GatewayTaskParts & {
  held: Map<number, heldRequest.HeldRequest>;
  idle: (() => void) | undefined;
  /** Assigns what can be assigned once the present turn of the event loop is over. */
  assign: () => void;
};
