/** What befalls gateways of a fleet in virtual time. */
import * as gateway from '@toucanproxy/core/gateway';
import * as gatewayFleet from './gateway-fleet.js';

/** Ends a gateway as if it were killed: its requests at backend servers end with it. */
export function stopGateway(fleet: gatewayFleet.GatewayFleet, index: number): void {
  fleet.dead.add(index);
  fleet.running = fleet.running.filter((run) => run.gateway !== index);
}

/** Starts a gateway again under its address. */
export function restartGateway(fleet: gatewayFleet.GatewayFleet, index: number): void {
  stopGateway(fleet, index);
  fleet.dead.delete(index);
  fleet.states[index] = gatewayFleet.createState(fleet, index);
}

/** Suspends a gateway for a time; datagrams for it wait. */
export function pauseGateway(fleet: gatewayFleet.GatewayFleet, index: number, ms: number): void {
  fleet.pausedUntilMs.set(index, fleet.nowMs + ms);
}

/** Cuts the way from one gateway to another, or makes it whole. */
export function setCut(
  fleet: gatewayFleet.GatewayFleet,
  from: number,
  to: number,
  isCut: boolean,
): void {
  const way = `${gatewayFleet.formatAddress(from)} ${gatewayFleet.formatAddress(to)}`;
  if (isCut) {
    fleet.cuts.add(way);
  } else {
    fleet.cuts.delete(way);
  }
}

/** Tells one gateway that a backend server leaves. */
export function tellLeaving(
  fleet: gatewayFleet.GatewayFleet,
  index: number,
  serverId: string,
): void {
  gateway.applyEntry(fleet.states[index].servers, gatewayFleet.buildEntry(fleet, serverId, true));
}

/** Tells all gateways at once of a backend server that is new. */
export function addServer(fleet: gatewayFleet.GatewayFleet, serverId: string): void {
  const entry = gatewayFleet.buildEntry(fleet, serverId, false);
  fleet.states.forEach((state) => gateway.applyEntry(state.servers, entry));
}
