/** Counts and times of one process, in the usual text format. */
import * as hdr from 'hdr-histogram-js';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as metricDefinitions from './metric-definitions.js';

export type Labels = Record<string, string>;

/** A value that is read when the metrics are rendered. */
export type MetricSample = { name: string; labels: Labels; value: number };

/** Times of one metric and one set of labels, milliseconds. */
type Times = {
  /** Since the last rotation, and in the period before it. */
  recent: hdr.Histogram;
  earlier: hdr.Histogram;
  /** Since the process started. */
  count: number;
  sum: number;
};

export type Metrics = {
  counters: Map<string, Map<string, number>>;
  times: Map<string, Map<string, Times>>;
  rotatedMs: number;
};

const PREFIX = 'toucanproxy_';
const HIGHEST_MS = 3_600_000;
const QUANTILES = [0.5, 0.95, 0.99];
const PERCENT = 100;
/** Quantiles cover one to two such periods, milliseconds. */
const ROTATION_MS = 60_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Results that say there was no capacity. */
const SHED_CODES = new Set([
  schema.ResultCode.SHED,
  schema.ResultCode.DEADLINE_UNREACHABLE,
  schema.ResultCode.NO_BACKEND_SERVER,
  schema.ResultCode.EVICTED,
  schema.ResultCode.QUEUE_FULL,
  schema.ResultCode.RETRY_BUDGET_SPENT,
]);

/** Creates empty metrics. */
export function createMetrics(): Metrics {
  return { counters: new Map(), times: new Map(), rotatedMs: 0 };
}

/** Formats labels; their order is that of the call. */
function formatLabels(labels: Labels): string {
  const inner = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return inner.length === 0 ? '' : `{${inner.join(',')}}`;
}

/** Gets the series of a metric. */
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
  return hdr.build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 2 });
}

/** Gets the times of a set of labels, made where there are none. */
function getTimes(series: Map<string, Times>, key: string): Times {
  const known = series.get(key);
  if (known !== undefined) {
    return known;
  }
  const times = { recent: buildHistogram(), earlier: buildHistogram(), count: 0, sum: 0 };
  series.set(key, times);
  return times;
}

/** Records a time in milliseconds. */
function recordMs(metrics: Metrics, name: string, labels: Labels, ms: number): void {
  const series = getSeries(metrics.times, name);
  const times = getTimes(series, formatLabels(labels));
  const value = Math.min(Math.max(Math.round(ms), 0), HIGHEST_MS);
  times.recent.recordValue(value);
  times.count += 1;
  times.sum += value;
}

/** Counts how a request ended. */
function recordOutcome(
  metrics: Metrics,
  outcome: Extract<core.Observation, { kind: 'outcome' }>,
): void {
  const { tier, code, inTime } = outcome;
  // A caller may name any service. As a label each name would take memory here
  // and in every system that reads the metrics.
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
      recordMs(metrics, 'first_byte_ms', { service, tier }, ms);
      return;
    }
    case 'queueWait':
      recordMs(metrics, 'queue_wait_ms', { tier: observation.tier }, observation.ms);
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

/** Begins a new period for quantiles where the present one is over. */
function updatePeriods(metrics: Metrics, now: number): void {
  if (now - metrics.rotatedMs < ROTATION_MS) {
    return;
  }
  metrics.rotatedMs = now;
  metrics.times.forEach((series) =>
    series.forEach((times) => {
      times.earlier.destroy();
      times.earlier = times.recent;
      times.recent = buildHistogram();
    }),
  );
}

/** Renders the head of a metric. */
function renderHead(name: string): string[] {
  const definition = metricDefinitions.METRIC_DEFINITIONS[name];
  return definition === undefined
    ? []
    : [`# HELP ${PREFIX}${name} ${definition.help}`, `# TYPE ${PREFIX}${name} ${definition.type}`];
}

/** Renders the times of one set of labels. */
function renderTimes(name: string, labels: string, times: Times): string[] {
  const both = buildHistogram();
  both.add(times.recent);
  both.add(times.earlier);
  const inner = labels === '' ? '' : `${labels.slice(1, -1)},`;
  const quantiles = QUANTILES.map((quantile) => {
    const value = both.getValueAtPercentile(quantile * PERCENT);
    return `${PREFIX}${name}{${inner}quantile="${quantile}"} ${value}`;
  });
  both.destroy();
  return [
    ...quantiles,
    `${PREFIX}${name}_sum${labels} ${times.sum}`,
    `${PREFIX}${name}_count${labels} ${times.count}`,
  ];
}

/** Renders counters and gauges, a metric at a time. */
function renderValues(all: Map<string, Map<string, number>>): string[] {
  return [...all]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .flatMap(([name, series]) => {
      const lines = [...series].map(([labels, value]) => `${PREFIX}${name}${labels} ${value}`);
      return [...renderHead(name), ...lines.sort()];
    });
}

/** Lists what every process tells of itself. */
function listProcessGauges(): MetricSample[] {
  const { user, system } = process.cpuUsage();
  const seconds = (user + system) / MICROSECONDS_PER_SECOND;
  return [
    { name: 'process_resident_bytes', labels: {}, value: process.memoryUsage.rss() },
    { name: 'process_cpu_seconds_total', labels: {}, value: seconds },
  ];
}

/**
 * Renders everything as text, a line each.
 *
 * @param now present time, milliseconds since the Unix epoch
 */
export function renderMetrics(metrics: Metrics, now: number, gauges: MetricSample[] = []): string {
  updatePeriods(metrics, now);
  const values = new Map(metrics.counters);
  [...gauges, ...listProcessGauges()].forEach(({ name, labels, value }) =>
    getSeries(values, name).set(formatLabels(labels), value),
  );
  const times = [...metrics.times].flatMap(([name, series]) => [
    ...renderHead(name),
    ...[...series].flatMap(([labels, one]) => renderTimes(name, labels, one)),
  ]);
  return `${[...renderValues(values), ...times].join('\n')}\n`;
}
