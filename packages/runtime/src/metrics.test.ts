import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as metrics from './metrics.js';

const MINUTE_MS = 60_000;
const SERIES = { service: 'brimwit', tier: 'stall' };

nodeTest.test('goodput and shed requests are counted by tier', () => {
  const recorded = metrics.createMetrics();
  const observe = (code: schema.ResultCode, inTime: boolean, service = 'brimwit') =>
    metrics.recordObservation(recorded, { kind: 'outcome', ...SERIES, service, code, inTime });
  observe(schema.ResultCode.COMPLETED, true);
  observe(schema.ResultCode.COMPLETED, false);
  observe(schema.ResultCode.SHED, true);
  observe(schema.ResultCode.UNKNOWN_SERVICE, false, 'any-text');
  const text = metrics.renderMetrics(recorded, 0);
  const lines = text.split('\n');
  assert.ok(lines.includes('toucanproxy_goodput_total{service="brimwit",tier="stall"} 1'));
  assert.ok(
    lines.includes('toucanproxy_shed_total{service="brimwit",tier="stall",result="SHED"} 1'),
  );
  assert.doesNotMatch(text, /any-text/);
});

nodeTest.test('each metric has its header once, before its samples', () => {
  const recorded = metrics.createMetrics();
  metrics.recordObservation(recorded, { kind: 'firstByte', ...SERIES, ms: 12 });
  metrics.recordObservation(recorded, { kind: 'queueWait', tier: '0', ms: 3 });
  metrics.addCount(recorded, 'callers_cut_total', {});
  const gauge = { name: 'document_version', labels: { service: 'brimwit' }, value: 7 };
  const lines = metrics.renderMetrics(recorded, 0, [gauge]).trim().split('\n');
  const headers = lines.filter((line) => line.startsWith('# TYPE '));
  assert.equal(new Set(headers).size, headers.length);
  const names = headers.map((line) => line.split(' ')[2]);
  lines
    .filter((line) => !line.startsWith('#'))
    .forEach((line) => {
      const [name] = line.split(/[{ ]/);
      assert.ok(names.includes(name.replace(/_(sum|count)$/, '')), line);
      assert.match(line, /^[a-z_]+(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\})? [0-9.e+]+$/);
    });
  assert.ok(lines.includes('toucanproxy_document_version{service="brimwit"} 7'));
});

nodeTest.test('quantiles cover recent time only, counts all time', () => {
  const recorded = metrics.createMetrics();
  metrics.recordObservation(recorded, { kind: 'queueWait', tier: '0', ms: 500 });
  const first = metrics.renderMetrics(recorded, MINUTE_MS);
  assert.match(first, /queue_wait_ms\{tier="0",quantile="0.5"\} 5\d\d/);
  metrics.renderMetrics(recorded, 2 * MINUTE_MS);
  const last = metrics.renderMetrics(recorded, 3 * MINUTE_MS);
  assert.match(last, /queue_wait_ms\{tier="0",quantile="0.5"\} 0/);
  assert.match(last, /queue_wait_ms_count\{tier="0"\} 1/);
  assert.match(last, /queue_wait_ms_sum\{tier="0"\} 500/);
});
