/** Faults and configuration changes for a fleet of gateways in virtual time. */
import * as gateway from '@toucanproxy/core/gateway';
import * as gatewayFleet from './gateway-fleet.js';
import * as gatewayFleetState from './gateway-fleet-state.js';

/** Stops a gateway as if it were killed: its requests at backend servers end with it. */
export function stopGateway(fleet: gatewayFleetState.GatewayFleet, index: number): void {
  fleet.stopped.add(index);
  fleet.running = fleet.running.filter((run) => run.gateway !== index);
}

/** Restarts a gateway with empty state under its address. */
export function restartGateway(fleet: gatewayFleetState.GatewayFleet, index: number): void {
  stopGateway(fleet, index);
  fleet.stopped.delete(index);
  fleet.states[index] = gatewayFleetState.createState(fleet, index);
}

/** Suspends a gateway for a time; datagrams addressed to it wait. */
export function pauseGateway(
  fleet: gatewayFleetState.GatewayFleet,
  index: number,
  ms: number,
): void {
  fleet.pausedUntilMs.set(index, fleet.nowMs + ms);
}

/** Blocks or unblocks the network path in one direction, from one gateway to another. */
export function setPathBlocked(
  fleet: gatewayFleetState.GatewayFleet,
  from: number,
  to: number,
  isBlocked: boolean,
): void {
  const path = `${gatewayFleetState.formatAddress(from)} ${gatewayFleetState.formatAddress(to)}`;
  if (isBlocked) {
    fleet.blockedPaths.add(path);
  } else {
    fleet.blockedPaths.delete(path);
  }
}

/** Applies at one gateway a store entry that marks a backend server as leaving. */
export function markServerLeaving(
  fleet: gatewayFleetState.GatewayFleet,
  index: number,
  serverId: string,
): void {
  const entry = gatewayFleetState.buildEntry(fleet, serverId, { leaving: true });
  gateway.applyEntry(fleet.states[index].servers, entry, fleet.nowMs);
}

/** Applies the store entry of a new backend server at one gateway. */
export function addServerAtGateway(
  fleet: gatewayFleetState.GatewayFleet,
  index: number,
  serverId: string,
): void {
  const entry = gatewayFleetState.buildEntry(fleet, serverId, {
    revision: { epoch: 0, count: 100 },
  });
  gateway.applyEntry(fleet.states[index].servers, entry, fleet.nowMs);
}

/** Applies the store entry of a new backend server at all gateways at once. */
export function addServerAtAllGateways(
  fleet: gatewayFleetState.GatewayFleet,
  serverId: string,
): void {
  const entry = gatewayFleetState.buildEntry(fleet, serverId);
  fleet.states.forEach((state) => gateway.applyEntry(state.servers, entry, fleet.nowMs));
}

/** Applies a store entry of a backend server at one gateway, or at all of them. */
export function applyServerEntry(
  fleet: gatewayFleetState.GatewayFleet,
  serverId: string,
  changes: Partial<gateway.BackendServerEntry>,
  index?: number,
): void {
  const entry = gatewayFleetState.buildEntry(fleet, serverId, changes);
  const states = index === undefined ? fleet.states : [fleet.states[index]];
  states.forEach((state) => {
    const change = gateway.applyEntry(state.servers, entry, fleet.nowMs);
    if (change?.change === 'restarted') {
      gateway.forgetServer(state, serverId, true, fleet.nowMs);
    }
  });
}

/** Evacuates a failure domain or returns it to service, at one gateway or at all of them. */
export function setEvacuated(
  fleet: gatewayFleetState.GatewayFleet,
  change: gateway.EvacuationChange,
  index?: number,
): void {
  const states = index === undefined ? fleet.states : [fleet.states[index]];
  states.forEach((state) => gateway.applyEvacuations(state.servers, [change], fleet.nowMs));
}

/** Crashes a backend server: its running requests break, and it accepts no connections. */
export function failServer(fleet: gatewayFleetState.GatewayFleet, serverId: string): void {
  const broken = fleet.running.filter((run) => run.serverId === serverId);
  fleet.running = fleet.running.filter((run) => run.serverId !== serverId);
  fleet.down.add(serverId);
  broken.forEach(({ gateway: index, request }) =>
    gatewayFleet.endAttempt(fleet, index, request, gateway.AttemptFault.BROKEN),
  );
}
