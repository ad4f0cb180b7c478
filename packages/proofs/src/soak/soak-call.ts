/** Sends one call of the soak test and records how it ends. */
import * as http from 'node:http';
import * as gatewayFixture from '@toucanproxy/platform/mocks/gateway-fixture';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import * as soakConnections from './soak-connections.js';
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
  /** The port is that of the gateway's process; its connection is recorded. */
  isDirect?: boolean;
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
  { disconnectAfterMs, isDirect = false, ...planned }: PlannedCall,
  port: number,
  agent: http.Agent | undefined,
): Promise<soakRecords.CallRecord> {
  const sentMs = readNow();
  const connection = { isNew: true, sentMs: 0, responseBytes: 0 };
  let completeConnection = () => {};
  const call: soakRecords.CallRecord = {
    ...planned,
    ...(isDirect ? { connection } : {}),
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
  const watchRequest = (request: http.ClientRequest) => {
    completeConnection = soakConnections.watchConnection(request, connection, readNow);
  };
  const sending = { method: 'POST', body: call.body, agent, signal: leaving.signal, headers };
  const options = { ...sending, watchRequest };
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
    completeConnection();
    call.endedMs = readNow();
  }
  return call;
}
