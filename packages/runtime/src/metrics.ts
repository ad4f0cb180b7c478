/** Counters and duration summaries of one process, rendered in the Prometheus text format. */
import * as hdr from 'hdr-histogram-js';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as metricDefinitions from './metric-definitions.js';

export type Labels = Record<string, string>;

/** A value that is determined when the metrics are rendered. */
export type MetricSample = { name: string; labels: Labels; value: number };

/** Durations of one metric and one set of labels, milliseconds. */
type Summary = {
  /** Durations since the last rotation, and in the period before it. */
  current: hdr.Histogram;
  previous: hdr.Histogram;
  /** Number and sum of durations since the process started. */
  count: number;
  sum: number;
};

export type Metrics = {
  /** By metric name, then by formatted labels. */
  counters: Map<string, Map<string, number>>;
  /** By metric name, then by formatted labels. */
  summaries: Map<string, Map<string, Summary>>;
  rotatedMs: number;
};

const PREFIX = 'toucanproxy_';
const MAX_DURATION_MS = 3_600_000;
const QUANTILES = [0.5, 0.95, 0.99];
const PERCENT = 100;
/** Period after which summaries rotate, ms; quantiles cover one to two periods. */
const ROTATION_MS = 60_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Results that mean a lack of capacity. */
const SHED_CODES = new Set([
  schema.ResultCode.SHED,
  schema.ResultCode.DEADLINE_UNREACHABLE,
  schema.ResultCode.NO_BACKEND_SERVER,
  schema.ResultCode.EVICTED,
  schema.ResultCode.QUEUE_FULL,
  schema.ResultCode.GATEWAY_OVERLOADED,
  schema.ResultCode.BODY_MEMORY_SPENT,
  schema.ResultCode.RETRY_BUDGET_SPENT,
]);

/** Creates empty metrics. */
export function createMetrics(): Metrics {
  return { counters: new Map(), summaries: new Map(), rotatedMs: 0 };
}

/** Formats labels in the order in which they are given. */
function formatLabels(labels: Labels): string {
  const inner = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return inner.length === 0 ? '' : `{${inner.join(',')}}`;
}

/** Returns the series of a metric, by formatted labels; creates them if necessary. */
function getSeries<T>(all: Map<string, Map<string, T>>, name: string): Map<string, T> {
  const series = all.get(name) ?? new Map<string, T>();
  all.set(name, series);
  return series;
}

/** Adds to a counter. */
export function addCount(metrics: Metrics, name: string, labels: Labels, amount = 1): void {
  const series = getSeries(metrics.counters, name);
  const key = formatLabels(labels);
  series.set(key, (series.get(key) ?? 0) + amount);
}

/** Builds an empty histogram. */
function buildHistogram(): hdr.Histogram {
  return hdr.build({ highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: 2 });
}

/** Returns the summary for a set of labels; creates it if necessary. */
function getSummary(series: Map<string, Summary>, key: string): Summary {
  const known = series.get(key);
  if (known !== undefined) {
    return known;
  }
  const summary = { current: buildHistogram(), previous: buildHistogram(), count: 0, sum: 0 };
  series.set(key, summary);
  return summary;
}

/** Records a duration, milliseconds. */
export function recordDuration(metrics: Metrics, name: string, labels: Labels, ms: number): void {
  const series = getSeries(metrics.summaries, name);
  const summary = getSummary(series, formatLabels(labels));
  const value = Math.min(Math.max(Math.round(ms), 0), MAX_DURATION_MS);
  summary.current.recordValue(value);
  summary.count += 1;
  summary.sum += value;
}

/** Counts how a request ended. */
function recordOutcome(
  metrics: Metrics,
  outcome: Extract<core.Observation, { kind: 'outcome' }>,
): void {
  const { tier, code, inTime } = outcome;
  // A caller can send any service name. If each were a label value, it would occupy memory here and
  // in every system that collects the metrics.
  const service = code === schema.ResultCode.UNKNOWN_SERVICE ? '' : outcome.service;
  const result = schema.ResultCode[code];
  addCount(metrics, 'requests_total', { service, tier, result, in_time: String(inTime) });
  if (code === schema.ResultCode.COMPLETED && inTime) {
    addCount(metrics, 'goodput_total', { service, tier });
  }
  if (SHED_CODES.has(code)) {
    addCount(metrics, 'shed_total', { service, tier, result });
  }
}

/** Records one observation of a core. */
export function recordObservation(metrics: Metrics, observation: core.Observation): void {
  switch (observation.kind) {
    case 'outcome':
      recordOutcome(metrics, observation);
      return;
    case 'firstByte': {
      const { service, tier, ms } = observation;
      recordDuration(metrics, 'first_byte_ms', { service, tier }, ms);
      return;
    }
    case 'queueWait':
      recordDuration(metrics, 'queue_wait_ms', { tier: observation.tier }, observation.ms);
      return;
    case 'wastedPrefill': {
      const { cause, tokens } = observation;
      addCount(metrics, 'wasted_prefill_tokens_total', { cause }, tokens);
      return;
    }
    case 'dropped':
      addCount(metrics, 'dropped_messages_total', { reason: observation.reason });
      return;
    default:
      addCount(metrics, 'invariants_broken_total', { name: observation.name });
  }
}

/** Starts a new period for quantiles if the current one is over. */
function updatePeriods(metrics: Metrics, now: number): void {
  if (now - metrics.rotatedMs < ROTATION_MS) {
    return;
  }
  metrics.rotatedMs = now;
  metrics.summaries.forEach((series) =>
    series.forEach((summary) => {
      summary.previous.destroy();
      summary.previous = summary.current;
      summary.current = buildHistogram();
    }),
  );
}

/** Renders the header lines of a metric. */
function renderHeader(name: string): string[] {
  const definition = metricDefinitions.METRIC_DEFINITIONS[name];
  return definition === undefined
    ? []
    : [`# HELP ${PREFIX}${name} ${definition.help}`, `# TYPE ${PREFIX}${name} ${definition.type}`];
}

/** Renders the summary for one set of labels. */
function renderSummary(name: string, labels: string, summary: Summary): string[] {
  const combined = buildHistogram();
  combined.add(summary.current);
  combined.add(summary.previous);
  const inner = labels === '' ? '' : `${labels.slice(1, -1)},`;
  const quantiles = QUANTILES.map((quantile) => {
    const value = combined.getValueAtPercentile(quantile * PERCENT);
    return `${PREFIX}${name}{${inner}quantile="${quantile}"} ${value}`;
  });
  combined.destroy();
  return [
    ...quantiles,
    `${PREFIX}${name}_sum${labels} ${summary.sum}`,
    `${PREFIX}${name}_count${labels} ${summary.count}`,
  ];
}

/** Renders counters and sampled values, grouped by metric. */
function renderValues(all: Map<string, Map<string, number>>): string[] {
  return [...all]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .flatMap(([name, series]) => {
      const lines = [...series].map(([labels, value]) => `${PREFIX}${name}${labels} ${value}`);
      return [...renderHeader(name), ...lines.sort()];
    });
}

/** Lists the metrics of the process itself. */
function listProcessSamples(): MetricSample[] {
  const { user, system } = process.cpuUsage();
  const seconds = (user + system) / MICROSECONDS_PER_SECOND;
  return [
    { name: 'process_resident_bytes', labels: {}, value: process.memoryUsage.rss() },
    { name: 'process_cpu_seconds_total', labels: {}, value: seconds },
  ];
}

/**
 * Renders all metrics as text.
 *
 * @param now current time, milliseconds since the Unix epoch
 */
export function renderMetrics(metrics: Metrics, now: number, samples: MetricSample[] = []): string {
  updatePeriods(metrics, now);
  const values = new Map(metrics.counters);
  [...samples, ...listProcessSamples()].forEach(({ name, labels, value }) =>
    getSeries(values, name).set(formatLabels(labels), value),
  );
  const summaries = [...metrics.summaries].flatMap(([name, series]) => [
    ...renderHeader(name),
    ...[...series].flatMap(([labels, summary]) => renderSummary(name, labels, summary)),
  ]);
  return `${[...renderValues(values), ...summaries].join('\n')}\n`;
}
