/**
 * Which agents an entry keeps links to.
 *
 * A full mesh of entries and agents spends more on heartbeats than a node may.
 * Rendezvous hashing spreads the entries over the agents evenly, and each
 * process can work the choice out for itself.
 */
import * as rendezvous from '../shared/rendezvous.js';

export const DEFAULT_LINKS_PER_SERVICE = 16;

/** Of the links, one in this many goes to other failure domains. */
const FAR_SHARE = 4;

/** What the choice looks at. */
export type Linkable = { backendServerId: string; failureDomain: string };

/**
 * Selects the agents to keep links to: most in the entry's own failure domain,
 * some outside it, so that the loss of the domain leaves links that work.
 *
 * @param count links to keep, at most
 */
export function selectLinks(
  entryId: string,
  failureDomain: string,
  agents: readonly Linkable[],
  count: number,
): string[] {
  const ids = agents.map((agent) => agent.backendServerId);
  const domains = new Map(agents.map((agent) => [agent.backendServerId, agent.failureDomain]));
  const ranked = rendezvous.rankByRendezvous(entryId, ids);
  const near = ranked.filter((id) => domains.get(id) === failureDomain);
  const far = ranked.filter((id) => domains.get(id) !== failureDomain);
  const farWanted = Math.max(Math.ceil(count / FAR_SHARE), count - near.length);
  const farTaken = far.slice(0, farWanted);
  return [...near.slice(0, count - farTaken.length), ...farTaken];
}
