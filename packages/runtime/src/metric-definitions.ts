/** Type and help text of each metric. */

export enum MetricType {
  COUNTER = 'counter',
  GAUGE = 'gauge',
  SUMMARY = 'summary',
}

export type MetricDefinition = { type: MetricType; help: string };

/** By name, without the prefix `toucanproxy_`. */
export const METRIC_DEFINITIONS: Record<string, MetricDefinition> = {
  requests_total: {
    type: MetricType.COUNTER,
    help: 'Requests that ended, by result and by whether they ended before their deadline.',
  },
  goodput_total: {
    type: MetricType.COUNTER,
    help: 'Requests that completed before their deadline.',
  },
  shed_total: {
    type: MetricType.COUNTER,
    help: 'Requests that were not run for lack of capacity.',
  },
  first_byte_ms: {
    type: MetricType.SUMMARY,
    help: 'Milliseconds from the arrival of a request to the first byte of its answer.',
  },
  queue_wait_ms: {
    type: MetricType.SUMMARY,
    help: 'Milliseconds that attempts waited in the agent, or requests for a scheduler, before they started.',
  },
  wasted_prefill_tokens_total: {
    type: MetricType.COUNTER,
    help: 'Prompt tokens that were worked through and thrown away, by cause.',
  },
  event_loop_delay_ms: {
    type: MetricType.SUMMARY,
    help: 'Milliseconds by which turns of the event loop were late.',
  },
  requests_shed_total: {
    type: MetricType.COUNTER,
    help: 'Requests refused on arrival to keep this process within its targets, by reason.',
  },
  body_budget_bytes: {
    type: MetricType.GAUGE,
    help: 'Bytes of requests that this process may hold in memory; 0 for no limit.',
  },
  body_bytes_held: {
    type: MetricType.GAUGE,
    help: 'Bytes of requests that this process holds in memory, by size of the request.',
  },
  body_decisions_total: {
    type: MetricType.COUNTER,
    help: 'Claims of memory for requests, by decision.',
  },
  connections_refused_total: {
    type: MetricType.COUNTER,
    help: 'New connections that had waited too long and were refused before anything was read.',
  },
  connections_closed_total: {
    type: MetricType.COUNTER,
    help: 'Of these, connections that were closed before the caller may have read the refusal.',
  },
  requests_withdrawn_total: {
    type: MetricType.COUNTER,
    help: 'Requests withdrawn before their first byte was sent, by reason.',
  },
  requests_ended_by_shutdown_total: {
    type: MetricType.COUNTER,
    help: 'Requests that a shutdown of this process ended, by how far they were and by result.',
  },
  attempt_faults_total: {
    type: MetricType.COUNTER,
    help: 'Attempts at backend servers that failed, by fault.',
  },
  extra_responses_total: {
    type: MetricType.COUNTER,
    help: 'Responses of backend servers with a further response behind them, by service.',
  },
  server_checks_total: {
    type: MetricType.COUNTER,
    help: 'Checks whether a backend server outlived the connection that ended its response.',
  },
  retries_total: {
    type: MetricType.COUNTER,
    help: 'Retries to backend servers, by service and by whether the retry budget allowed or denied them.',
  },
  stream_resumptions_total: {
    type: MetricType.COUNTER,
    help: 'Streams that callers took up again, by where the version that began them was known.',
  },
  suspended_contents: {
    type: MetricType.GAUGE,
    help: 'Contents that a gateway refuses because their runs ended backend servers.',
  },
  suspended_prompt_parts: {
    type: MetricType.GAUGE,
    help: 'Parts of prompts that a gateway refuses because their runs ended backend servers.',
  },
  stream_origins: {
    type: MetricType.GAUGE,
    help: 'Streams whose software version this process knows.',
  },
  load_percent: {
    type: MetricType.GAUGE,
    help: 'Share of the time or processor time that was used; 100 if other gateways should schedule.',
  },
  admitted_share: {
    type: MetricType.GAUGE,
    help: 'Share of the arriving requests that an overloaded gateway admits; 1 if it is not overloaded.',
  },
  schedule_asks_total: {
    type: MetricType.COUNTER,
    help: 'Messages to schedulers of cells.',
  },
  schedule_grants_total: {
    type: MetricType.COUNTER,
    help: 'Places that schedulers granted, by whether a request was sent there.',
  },
  schedulers_left_total: {
    type: MetricType.COUNTER,
    help: 'Times that another scheduler was asked, since one did not answer or another took over.',
  },
  peer_bytes_total: {
    type: MetricType.COUNTER,
    help: 'Bytes of datagrams sent to other gateways, by cause and by whether they left the failure domain.',
  },
  request_bytes_total: {
    type: MetricType.COUNTER,
    help: 'Bytes of request and response bodies to and from backend servers, by whether the server is in the own failure domain.',
  },
  placements_total: {
    type: MetricType.COUNTER,
    help: 'Requests sent to backend servers, by whether the server is in the own failure domain.',
  },
  cell_requests_queued: {
    type: MetricType.GAUGE,
    help: 'Requests that wait in the cells that this gateway schedules.',
  },
  cell_requests_deferred: {
    type: MetricType.GAUGE,
    help: 'Requests that waited in the last scheduling pass so as not to pause running streams.',
  },
  cell_slot_turnaround_ms: {
    type: MetricType.GAUGE,
    help: 'Mean time from the ask of a gateway to the reply, weighted by requests in flight.',
  },
  server_unread_tokens: {
    type: MetricType.GAUGE,
    help: 'Prompt tokens that a backend server has not read yet, as known to the scheduler of its cell.',
  },
  prompt_tokens_per_ms: {
    type: MetricType.GAUGE,
    help: 'Prompt tokens that the fastest engines of a service read in a millisecond, as learned.',
  },
  first_event_error_ms: {
    type: MetricType.SUMMARY,
    help: 'Difference between the measured and the predicted time to the first event, milliseconds.',
  },
  late_returns_total: {
    type: MetricType.COUNTER,
    help: 'Returns that would be late, by what became of them in the queue.',
  },
  peers: {
    type: MetricType.GAUGE,
    help: 'Other gateways that are not forgotten.',
  },
  fair_use_reports_total: {
    type: MetricType.COUNTER,
    help: 'Messages to schedulers that reported what workspaces recently used.',
  },
  workspace_share: {
    type: MetricType.GAUGE,
    help: 'Share of a workspace with recent requests, among those of its urgency; 1 is the usual one.',
  },
  dropped_messages_total: {
    type: MetricType.COUNTER,
    help: 'Messages between processes that were dropped, by reason.',
  },
  internal_errors_total: {
    type: MetricType.COUNTER,
    help: 'Unexpected exceptions, by the unit of work that they ended.',
  },
  invariants_broken_total: {
    type: MetricType.COUNTER,
    help: 'Checks inside the program that failed. Each one is a fault of the program.',
  },
  callers_cut_total: {
    type: MetricType.COUNTER,
    help: 'Callers that were given up because they did not read their answer.',
  },
  document_version: {
    type: MetricType.GAUGE,
    help: 'Version of the service document in force.',
  },
  requests_held: {
    type: MetricType.GAUGE,
    help: 'Requests in hand, by tier and by whether an agent holds them.',
  },
  backend_servers: {
    type: MetricType.GAUGE,
    help: 'Backend servers as this process sees them, by state.',
  },
  backend_servers_warming: {
    type: MetricType.GAUGE,
    help: 'Backend servers that warm up, as this process knows.',
  },
  backend_servers_stating: {
    type: MetricType.GAUGE,
    help: 'Backend servers whose answers to this process state a departure, a backoff or a rate limit.',
  },
  store_epoch: {
    type: MetricType.GAUGE,
    help: 'Epoch of the store as this process last read it; rises when the store is restored from a backup.',
  },
  evacuated_domains: {
    type: MetricType.GAUGE,
    help: 'Failure domains that operators have had evacuated, as this process knows.',
  },
  attempts_queued: {
    type: MetricType.GAUGE,
    help: 'Attempts and reservations that wait in an agent, by tier.',
  },
  attempts_running: {
    type: MetricType.GAUGE,
    help: 'Attempts that run on the engine of an agent.',
  },
  engine_available: {
    type: MetricType.GAUGE,
    help: '1 while the engine of an agent can be reached.',
  },
  suspects: {
    type: MetricType.GAUGE,
    help: 'Contents that were running when an engine crashed.',
  },
  process_resident_bytes: {
    type: MetricType.GAUGE,
    help: 'Memory of the process, bytes.',
  },
  process_cpu_seconds_total: {
    type: MetricType.COUNTER,
    help: 'Processor time of the process, seconds.',
  },
};
