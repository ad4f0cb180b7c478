/** Gauges of an entry's metrics. */
import * as core from '@toucanproxy/core';
import type * as runtime from '@toucanproxy/runtime';
import * as status from './status.js';

/** Lists the versions of the active documents. */
function listVersions(state: core.EntryState): runtime.MetricSample[] {
  return [...state.documents].map(([service, stored]) => ({
    name: 'document_version',
    labels: { service },
    value: stored.document.version,
  }));
}

/** Lists the numbers of held requests by tier. */
function listHeldRequests(state: core.EntryState): runtime.MetricSample[] {
  return status.countByTier(state).flatMap(({ service, tier, waiting, offered }) => [
    { name: 'requests_held', labels: { service, tier, status: 'waiting' }, value: waiting },
    { name: 'requests_held', labels: { service, tier, status: 'offered' }, value: offered },
  ]);
}

/** Lists the numbers of backend servers in each state. */
function listServers(state: core.EntryState, now: number): runtime.MetricSample[] {
  const views = [...state.agents.values()];
  return [...state.documents.keys()].flatMap((service) => {
    const states = views
      .filter((view) => view.service === service)
      .map((view) => status.toServerState(view, now));
    return Object.values(status.ServerState).map((name) => ({
      name: 'backend_servers',
      labels: { service, state: name },
      value: states.filter((one) => one === name).length,
    }));
  });
}

/**
 * Lists every gauge of an entry.
 *
 * @param now current time, milliseconds since the Unix epoch
 */
export function listGauges(state: core.EntryState, now: number): runtime.MetricSample[] {
  const suspects = { name: 'suspects', labels: {}, value: state.suspects.byDigest.size };
  return [...listVersions(state), ...listHeldRequests(state), ...listServers(state, now), suspects];
}
