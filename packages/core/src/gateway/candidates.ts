/** What is weighed of the backend servers of a service when a request is placed. */
import * as backendServers from './backend-servers.js';
import * as enginePace from './engine-pace.js';
import * as firstDelay from './first-delay.js';
import * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import type * as serverChoice from './server-choice.js';
import * as serverLoad from './server-load.js';

/**
 * Where fewer than this share of the backend servers would be left, none is ejected
 * for failures: then the requests are at fault, and waiting helps none of them.
 */
const MIN_SOUND_SHARE = 0.5;
/** Places of a plain service whose entry names none. */
const DEFAULT_SLOTS = 4;

/** Lists the backend servers of a service that may get work now. */
export function listCandidates(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): serverChoice.Candidate[] {
  const usable = backendServers
    .listUsable(state.servers, service, now)
    .map((entry) => ({ entry, load: gatewayState.getLoad(state, entry.id) }));
  const { firstDelay: usual } = gatewayState.getServiceWork(state, service);
  const usualMs = firstDelay.estimateExtraMs(usual, now);
  const fastest = enginePace.findFastest(usable.map(({ load }) => load.pace));
  const reachable = usable.filter(({ load }) => !serverLoad.isPaused(load, now));
  const sound = reachable.filter(({ load }) => !serverLoad.isEjected(load, now));
  const isCapped = sound.length < MIN_SOUND_SHARE * usable.length;
  return (isCapped ? reachable : sound).map(({ entry, load }) => {
    const slowness = enginePace.estimateSlowness(load.pace, fastest, now);
    return {
      id: entry.id,
      slots: entry.slots || DEFAULT_SLOTS,
      ownInFlight: load.inFlight,
      peersInFlight: peerView.countInFlight(state.peers, entry.id, now),
      slowness,
      unitMs: fastest * slowness,
      firstExtraMs: firstDelay.estimateExtraMs(load.firstDelay, now, usualMs),
      failureShare: serverLoad.computeFailureShare(load),
      isNear: entry.failureDomain === state.failureDomain,
    };
  });
}
