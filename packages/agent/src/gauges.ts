/** The gauges that an agent's metrics export. */
import * as core from '@toucanproxy/core';
import type * as runtime from '@toucanproxy/runtime';
import * as status from './status.js';

/** Lists every gauge of an agent. */
export function listGauges(state: core.AgentState): runtime.MetricSample[] {
  const { service } = state;
  const version = core.getVersion(state.documents, service);
  return [
    { name: 'document_version', labels: { service }, value: version },
    { name: 'attempts_running', labels: {}, value: state.running.size },
    { name: 'engine_available', labels: {}, value: Number(state.engineAvailable) },
    { name: 'suspects', labels: {}, value: state.suspects.byDigest.size },
    ...status.countByTier(state).map(({ tier, queued }) => ({
      name: 'attempts_queued',
      labels: { tier },
      value: queued,
    })),
  ];
}
