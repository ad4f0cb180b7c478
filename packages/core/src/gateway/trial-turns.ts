/** Decides in which order gateways try what is refused because it has ended backend servers. */
import * as rendezvous from '../shared/rendezvous.js';
import type * as gatewayState from './gateway-state.js';
import * as peerCounts from './peer-counts.js';

/**
 * Time between the gateways' turns, milliseconds: the loss of a trial at a silent server is known
 * only when its time is over.
 */
const TURN_MS = 2000;

/**
 * Computes how long this gateway leaves a trial to others, milliseconds. Callers that send the same
 * to several gateways at once would otherwise have a trial at each.
 *
 * @param key the refused content or part
 * @param maxTurn gateways with a later turn than this one take it together
 */
export function computeTurnMs(
  { address, peers }: gatewayState.GatewayState,
  key: string,
  maxTurn: number,
  now: number,
): number {
  const all = [address, ...peerCounts.listReachablePeers(peers, now)];
  const turn = rendezvous.rankByRendezvous(key, all).indexOf(address);
  return Math.min(turn, maxTurn) * TURN_MS;
}
