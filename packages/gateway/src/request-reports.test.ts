import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gateway from '@toucanproxy/core/gateway';
import type * as heldRequest from './held-request.js';
import * as requestReports from './request-reports.js';

const { test } = nodeTest;

/** Reports a broken run of a request with some parts; returns the parts that the line names. */
function reportBroken(promptParts: string[] | undefined): unknown {
  const lines: Record<string, unknown>[] = [];
  const dependencies = {
    log: { write: (_: string, fields: Record<string, unknown>) => lines.push(fields) },
    metrics: { recordFault: () => undefined },
  } as unknown as requestReports.ReportDependencies;
  const held = {
    request: { arrived: { attemptId: 'a', promptParts, hashContent: () => 'digest' } },
    exchange: { response: { headersSent: false } },
  } as unknown as heldRequest.HeldRequest;
  const fault = { fault: gateway.AttemptFault.BROKEN, reason: 'ended', verdict: 'again' as const };
  requestReports.reportFault(dependencies, held, { serverId: 's', ...fault }, 0);
  return lines[0].promptParts;
}

// Guards against crashes of which no line tells the parts of the prompt, and against long lines.
test('lines of faults name at most eight parts of the prompt', () => {
  assert.deepEqual(reportBroken(['ab', 'cd']), ['ab', 'cd']);
  assert.equal((reportBroken(Array<string>(20).fill('ab')) as string[]).length, 8);
  assert.equal(reportBroken(undefined), undefined);
  assert.equal(reportBroken([]), undefined);
});
