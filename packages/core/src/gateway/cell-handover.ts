/** Hands the cells that this gateway schedules over to others when it leaves. */
import * as scheduler from '../scheduler/index.js';
import type * as gatewayState from './gateway-state.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as pendingAsks from './pending-asks.js';

/** Returns whether this gateway is leaving and another one schedules a cell. */
export function isHandedOver(
  state: gatewayState.GatewayState,
  cellName: string,
  now: number,
): boolean {
  return (
    state.shutdownMs > 0 &&
    pendingAsks.chooseScheduler(state, cellName, now).address !== state.address
  );
}

/**
 * Stops scheduling the cells that another gateway takes over; returns the messages that tell it
 * which slots are in use.
 */
export function releaseCells(
  state: gatewayState.GatewayState,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  const { cells } = state.scheduler;
  return [...cells.values()]
    .filter(({ name }) => isHandedOver(state, name, now))
    .flatMap((cell) => {
      cells.delete(cell.name);
      const to = pendingAsks.chooseScheduler(state, cell.name, now).address;
      return scheduler.buildCellHandover(cell).map((ask) => ({ kind: 'ask' as const, to, ask }));
    });
}
