/** The answer a caller gets when its request did not complete. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

type Failure = Extract<core.EntryEffect, { kind: 'answerFailure' }>;

const { ResultCode } = schema;

/** HTTP status for each code; docs/RESULT-CODES.md explains them. */
const STATUS_BY_CODE: Partial<Record<schema.ResultCode, number>> = {
  [ResultCode.MALFORMED_REQUEST]: 400,
  [ResultCode.UNKNOWN_SERVICE]: 404,
  [ResultCode.UNAUTHENTICATED]: 401,
  [ResultCode.BODY_TOO_LARGE]: 413,
  [ResultCode.HEADERS_TOO_LARGE]: 431,
  [ResultCode.REQUEST_TIMEOUT]: 408,
  [ResultCode.DEADLINE_INVALID]: 400,
  [ResultCode.KEY_INVALID]: 400,
  [ResultCode.KEY_EXPIRED]: 409,
  [ResultCode.KEY_REUSED]: 422,
  [ResultCode.UNKNOWN_PATH]: 404,
  [ResultCode.WORKSPACE_LIMIT]: 429,
  [ResultCode.SHED]: 503,
  [ResultCode.DEADLINE_UNREACHABLE]: 503,
  [ResultCode.NO_BACKEND_SERVER]: 503,
  [ResultCode.SHUTTING_DOWN]: 503,
  [ResultCode.EVICTED]: 503,
  [ResultCode.QUEUE_FULL]: 503,
  [ResultCode.RETRY_BUDGET_SPENT]: 503,
  [ResultCode.LINK_LOST]: 504,
  [ResultCode.AGENT_RESTARTED]: 502,
  [ResultCode.KEY_UNDECIDED]: 409,
  [ResultCode.ENGINE_FAILED]: 502,
  [ResultCode.ENGINE_CRASHED]: 502,
  [ResultCode.CONTENT_REFUSED]: 422,
  [ResultCode.ANSWER_BROKEN]: 502,
  [ResultCode.DEADLINE_EXCEEDED]: 504,
};

const RUN_STATE_NAMES: Record<schema.RunState, string> = {
  [schema.RunState.UNSPECIFIED]: 'unknown',
  [schema.RunState.NOT_RUN]: 'not_run',
  [schema.RunState.RAN]: 'ran',
  [schema.RunState.MAY_HAVE_RUN]: 'may_have_run',
};

const MS_PER_SECOND = 1000;

export type FailureAnswer = {
  status: number;
  headers: Record<string, string>;
  body: string;
};

/** Builds the answer; its shape is the one that OpenAI-style clients know. */
export function buildFailureAnswer(failure: Failure): FailureAnswer {
  const { code, requestId, retryAfterMs } = failure;
  const name = ResultCode[code].toLowerCase();
  const error = {
    message: `toucanproxy: ${name.replaceAll('_', ' ')}`,
    type: name,
    code,
    run_state: RUN_STATE_NAMES[failure.runState],
    request_id: requestId,
  };
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-toucanproxy-result': String(code),
  };
  if (retryAfterMs > 0) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
  }
  return { status: STATUS_BY_CODE[code] ?? 500, headers, body: JSON.stringify({ error }) };
}
