/** Sends one call of the soak test and records how it ends. */
import * as http from 'node:http';
import * as gatewayFixture from '@toucanproxy/platform/mocks/gateway-fixture';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import type * as soakRecords from './soak-records.js';

/** A call to be sent. */
export type PlannedCall = Pick<
  soakRecords.CallRecord,
  'id' | 'kind' | 'path' | 'body' | 'credential' | 'workspace' | 'gateway' | 'deadlineMs'
> & {
  /** The caller disconnects after this time, milliseconds; undefined if it waits. */
  disconnectAfterMs?: number;
  resumes?: soakRecords.CallRecord['resumes'];
  parts?: string;
  extraHeaders?: http.OutgoingHttpHeaders;
};

/** A caller gives up on a call after this multiple of its deadline. */
const LOST_FACTOR = 2;

/**
 * Whether a connection was refused or reset. The system resets a connection that is closed before
 * all of a request has been read from it, and closes it normally otherwise.
 */
function isReset(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).syscall !== undefined;
}

/** Sends a call, waits for its end and adds it to the records. */
export async function makeCall(
  { records, readNow }: { records: soakRecords.SoakRecords; readNow: () => number },
  { disconnectAfterMs, ...planned }: PlannedCall,
  port: number,
  agent: http.Agent | undefined,
): Promise<soakRecords.CallRecord> {
  const sentMs = readNow();
  const call: soakRecords.CallRecord = {
    ...planned,
    sentMs,
    disconnectedMs: 0,
    isReset: false,
    isReused: Object.keys(agent?.freeSockets ?? {}).length > 0,
    endedMs: 0,
    response: undefined,
  };
  records.calls.push(call);
  const leaving = new AbortController();
  const timer = setTimeout(
    () => {
      call.disconnectedMs = disconnectAfterMs === undefined ? 0 : readNow();
      leaving.abort();
    },
    disconnectAfterMs ?? LOST_FACTOR * call.deadlineMs,
  );
  const headers = platformFixtures.buildCallHeaders(call, call.resumes);
  const options = { method: 'POST', body: call.body, agent, signal: leaving.signal, headers };
  try {
    const {
      status,
      body,
      headers: given,
      isComplete,
    } = await gatewayFixture.fetchResponse(port, call.path, options, 0);
    const isSigned = platformFixtures.isSigned(given);
    call.response = { status, body, isSigned, isComplete };
  } catch (error) {
    call.isReset = isReset(error);
    // The connection ended without a response; the checks decide whether that is allowed.
    call.response = undefined;
  } finally {
    clearTimeout(timer);
    call.endedMs = readNow();
  }
  return call;
}
