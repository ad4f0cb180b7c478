/** What befalls gateways of a fleet in virtual time. */
import * as gateway from '@toucanproxy/core/gateway';
import * as gatewayFleet from './gateway-fleet.js';
import * as gatewayFleetState from './gateway-fleet-state.js';

/** Ends a gateway as if it were killed: its requests at backend servers end with it. */
export function stopGateway(fleet: gatewayFleetState.GatewayFleet, index: number): void {
  fleet.dead.add(index);
  fleet.running = fleet.running.filter((run) => run.gateway !== index);
}

/** Starts a gateway again under its address. */
export function restartGateway(fleet: gatewayFleetState.GatewayFleet, index: number): void {
  stopGateway(fleet, index);
  fleet.dead.delete(index);
  fleet.states[index] = gatewayFleetState.createState(fleet, index);
}

/** Suspends a gateway for a time; datagrams for it wait. */
export function pauseGateway(
  fleet: gatewayFleetState.GatewayFleet,
  index: number,
  ms: number,
): void {
  fleet.pausedUntilMs.set(index, fleet.nowMs + ms);
}

/** Cuts the way from one gateway to another, or makes it whole. */
export function setCut(
  fleet: gatewayFleetState.GatewayFleet,
  from: number,
  to: number,
  isCut: boolean,
): void {
  const way = `${gatewayFleetState.formatAddress(from)} ${gatewayFleetState.formatAddress(to)}`;
  if (isCut) {
    fleet.cuts.add(way);
  } else {
    fleet.cuts.delete(way);
  }
}

/** Tells one gateway that a backend server leaves. */
export function tellLeaving(
  fleet: gatewayFleetState.GatewayFleet,
  index: number,
  serverId: string,
): void {
  const entry = gatewayFleetState.buildEntry(fleet, serverId, { leaving: true });
  gateway.applyEntry(fleet.states[index].servers, entry, fleet.nowMs);
}

/** Tells one gateway of a backend server that is new. */
export function tellServer(
  fleet: gatewayFleetState.GatewayFleet,
  index: number,
  serverId: string,
): void {
  const entry = gatewayFleetState.buildEntry(fleet, serverId, {
    revision: { epoch: 0, count: 100 },
  });
  gateway.applyEntry(fleet.states[index].servers, entry, fleet.nowMs);
}

/** Tells all gateways at once of a backend server that is new. */
export function addServer(fleet: gatewayFleetState.GatewayFleet, serverId: string): void {
  const entry = gatewayFleetState.buildEntry(fleet, serverId);
  fleet.states.forEach((state) => gateway.applyEntry(state.servers, entry, fleet.nowMs));
}

/** Reads an entry of a backend server at one gateway, or at all of them. */
export function applyServer(
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
      gateway.forgetServer(state, serverId);
    }
  });
}

/** Tells one gateway, or all of them, that a failure domain is evacuated or taken back. */
export function setEvacuated(
  fleet: gatewayFleetState.GatewayFleet,
  change: gateway.EvacuationChange,
  index?: number,
): void {
  const states = index === undefined ? fleet.states : [fleet.states[index]];
  states.forEach((state) => gateway.applyEvacuations(state.servers, [change], fleet.nowMs));
}

/** Crashes a backend server: what runs there breaks off, and it takes no connection. */
export function failServer(fleet: gatewayFleetState.GatewayFleet, serverId: string): void {
  const broken = fleet.running.filter((run) => run.serverId === serverId);
  fleet.running = fleet.running.filter((run) => run.serverId !== serverId);
  fleet.down.add(serverId);
  broken.forEach(({ gateway: index, request }) =>
    gatewayFleet.endAttempt(fleet, index, request, gateway.AttemptFault.BROKEN),
  );
}
