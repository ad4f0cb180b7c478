/** State and dependencies of the gateway task. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as backendConnections from './backend-connections.js';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as eventLoop from './event-loop.js';
import type * as domainTraffic from './domain-traffic.js';
import type * as failureGuard from './failure-guard.js';
import type * as gatewayMetrics from './gateway-metrics.js';
import type * as heldRequest from './held-request.js';
import type * as unknownNames from './unknown-names.js';
import type * as wireProtocol from './wire-protocol.js';

export type GatewayTaskDependencies = {
  state: gateway.GatewayState;
  protocol: wireProtocol.WireProtocol;
  connections: backendConnections.BackendConnections;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
  metrics: gatewayMetrics.GatewayMetrics;
  unknown: unknownNames.UnknownNames;
  eventLoop: eventLoop.EventLoop;
  traffic: domainTraffic.DomainTraffic;
  runGuarded: failureGuard.RunGuarded;
  sendToPeers: (outgoing: readonly gateway.OutgoingMessage[]) => void;
};

export type TaskState = GatewayTaskDependencies & {
  /** Requests in progress, by serial number. */
  held: Map<number, heldRequest.HeldRequest>;
  /** Schedules an assignment pass for the end of the current turn of the event loop. */
  assign: () => void;
};
