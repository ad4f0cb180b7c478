/** One call of a soak, noted from its sending to its end. */
import * as http from 'node:http';
import * as gatewayScene from '@toucanproxy/platform/mocks/gateway-fixture';
import * as standInWire from '@toucanproxy/platform/mocks/platform-fixtures';
import type * as soakRecords from './soak-records.js';

/** What is to be sent. */
export type PlannedCall = Pick<
  soakRecords.CallRecord,
  'id' | 'kind' | 'path' | 'body' | 'credential' | 'workspace' | 'gateway' | 'deadlineMs'
> & {
  /** The caller leaves after this time, milliseconds; undefined where it stays. */
  leaveAfterMs?: number;
};

/** Times its deadline after which a caller takes its call for lost. */
const LOST_TURNS = 2;

/** Makes a call and notes how it ended. */
export async function makeCall(
  { records, readNow }: { records: soakRecords.SoakRecords; readNow: () => number },
  { leaveAfterMs, ...planned }: PlannedCall,
  port: number,
  agent: http.Agent | undefined,
): Promise<soakRecords.CallRecord> {
  const sentMs = readNow();
  const call: soakRecords.CallRecord = {
    ...planned,
    sentMs,
    leftMs: 0,
    endedMs: 0,
    answer: undefined,
  };
  records.calls.push(call);
  const leaving = new AbortController();
  const timer = setTimeout(
    () => {
      call.leftMs = leaveAfterMs === undefined ? 0 : readNow();
      leaving.abort();
    },
    leaveAfterMs ?? LOST_TURNS * call.deadlineMs,
  );
  const headers = standInWire.buildCallHeaders(call);
  const options = { method: 'POST', body: call.body, agent, signal: leaving.signal, headers };
  try {
    const {
      status,
      body,
      headers: given,
      isComplete: isWhole,
    } = await gatewayScene.fetchResponse(port, call.path, options, 0);
    const isSigned = standInWire.isSigned(given);
    call.answer = { status, body, isSigned, isWhole };
  } catch {
    // The connection ended without an answer; the checks decide whether it may.
    call.answer = undefined;
  } finally {
    clearTimeout(timer);
    call.endedMs = readNow();
  }
  return call;
}
