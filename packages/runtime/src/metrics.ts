/** Counts and histograms of one process, in the usual text format. */
import * as hdr from 'hdr-histogram-js';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

const HIGHEST_MS = 3_600_000;
const PERCENTILES = [50, 95, 99];

export type Metrics = {
  counters: Map<string, number>;
  histograms: Map<string, hdr.Histogram>;
};

/** Creates empty metrics. */
export function createMetrics(): Metrics {
  return { counters: new Map(), histograms: new Map() };
}

/** Formats a metric name with its labels. */
function formatName(name: string, labels: Record<string, string>): string {
  const inner = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return `toucanproxy_${name}{${inner.join(',')}}`;
}

/** Adds to a counter. */
export function addCount(
  metrics: Metrics,
  name: string,
  labels: Record<string, string>,
  amount = 1,
): void {
  const key = formatName(name, labels);
  metrics.counters.set(key, (metrics.counters.get(key) ?? 0) + amount);
}

/** Records a time in milliseconds. */
function recordMs(
  metrics: Metrics,
  name: string,
  labels: Record<string, string>,
  ms: number,
): void {
  const key = formatName(name, labels);
  const histogram =
    metrics.histograms.get(key) ??
    hdr.build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 2 });
  histogram.recordValue(Math.min(Math.max(Math.round(ms), 0), HIGHEST_MS));
  metrics.histograms.set(key, histogram);
}

/** Records one observation of a core. */
export function recordObservation(metrics: Metrics, observation: core.Observation): void {
  switch (observation.kind) {
    case 'outcome': {
      const { service, tier, code, inTime } = observation;
      const labels = { service, tier, result: schema.ResultCode[code], in_time: String(inTime) };
      addCount(metrics, 'requests_total', labels);
      return;
    }
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

/** Renders one histogram as a summary. */
function renderHistogram(name: string, histogram: hdr.Histogram): string[] {
  const quantiles = PERCENTILES.map((percentile) => {
    const labelled = name.replace(/}$/, `,quantile="${percentile / 100}"}`);
    return `${labelled} ${histogram.getValueAtPercentile(percentile)}`;
  });
  return [...quantiles, `${name.replace('{', '_count{')} ${histogram.totalCount}`];
}

/** Renders everything as text, a line each. */
export function renderMetrics(metrics: Metrics): string {
  const counters = [...metrics.counters].map(([name, value]) => `${name} ${value}`);
  const histograms = [...metrics.histograms].flatMap(([name, histogram]) =>
    renderHistogram(name, histogram),
  );
  return `${[...counters, ...histograms].sort().join('\n')}\n`;
}
