/** Builds the response for a request that did not complete. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

/** A failure, whether decided by the core or before it. */
export type Failure = Pick<
  Extract<core.EntryEffect, { kind: 'answerFailure' }>,
  'requestId' | 'code' | 'runState' | 'retryAfterMs'
>;

const { ResultCode } = schema;

const RUN_STATE_NAMES: Record<schema.RunState, string> = {
  [schema.RunState.UNSPECIFIED]: 'unknown',
  [schema.RunState.NOT_RUN]: 'not_run',
  [schema.RunState.RAN]: 'ran',
  [schema.RunState.MAY_HAVE_RUN]: 'may_have_run',
};

const MS_PER_SECOND = 1000;
/** Minimum retry-after for failures that are safe to retry, milliseconds. */
const MIN_RETRY_AFTER_MS = 1000;
/** Codes 201 to 299 are about capacity and membership. */
const CAPACITY_CODE_GROUP = 2;
const CODE_GROUP_SIZE = 100;

export type FailureResponse = {
  status: number;
  headers: Record<string, string>;
  body: string;
};

/** Builds the failure of a request that was refused before it reached the core. */
export function buildRefusal(code: schema.ResultCode): Failure {
  return { requestId: '', code, runState: schema.RunState.NOT_RUN, retryAfterMs: 0 };
}

/** Whether the same request may succeed later without anything being run twice. */
function isSafeToRetry(failure: Failure): boolean {
  const ofCapacity = Math.floor(failure.code / CODE_GROUP_SIZE) === CAPACITY_CODE_GROUP;
  return ofCapacity && failure.runState === schema.RunState.NOT_RUN;
}

/** Builds the headers of a failure. */
function buildHeaders(failure: Failure): Record<string, string> {
  const { code, requestId, retryAfterMs } = failure;
  const retriable = isSafeToRetry(failure);
  const waitMs = retriable ? Math.max(retryAfterMs, MIN_RETRY_AFTER_MS) : retryAfterMs;
  return {
    'content-type': 'application/json',
    'x-toucanproxy-result': String(code),
    // OpenAI-style clients retry on their own after most statuses, without a key.
    // This stops them if the request may have run already.
    'x-should-retry': String(retriable),
    ...(requestId === '' ? {} : { 'x-request-id': requestId }),
    ...(waitMs === 0 ? {} : { 'retry-after': String(Math.ceil(waitMs / MS_PER_SECOND)) }),
  };
}

/** Builds the response in the format that OpenAI-style clients expect. */
export function buildFailureResponse(failure: Failure): FailureResponse {
  const { code, requestId } = failure;
  const name = ResultCode[code].toLowerCase();
  const error = {
    message: `toucanproxy: ${name.replaceAll('_', ' ')}`,
    type: name,
    code,
    run_state: RUN_STATE_NAMES[failure.runState],
    request_id: requestId,
  };
  const headers = buildHeaders(failure);
  return { status: schema.getHttpStatus(code), headers, body: JSON.stringify({ error }) };
}
