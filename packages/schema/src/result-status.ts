/** HTTP status of each result code, the same in all processes that answer callers. */
import * as resultPb from './generated/toucanproxy/v1/result_pb.js';

const DEFAULT_STATUS = 500;

/** Codes that are not listed are answered with `DEFAULT_STATUS`; see docs/RESULT-CODES.md. */
const STATUS_BY_CODE: Partial<Record<resultPb.ResultCode, number>> = {
  [resultPb.ResultCode.COMPLETED]: 200,
  [resultPb.ResultCode.MALFORMED_REQUEST]: 400,
  [resultPb.ResultCode.UNKNOWN_SERVICE]: 404,
  [resultPb.ResultCode.UNAUTHENTICATED]: 401,
  [resultPb.ResultCode.BODY_TOO_LARGE]: 413,
  [resultPb.ResultCode.HEADERS_TOO_LARGE]: 431,
  [resultPb.ResultCode.REQUEST_TIMEOUT]: 408,
  [resultPb.ResultCode.DEADLINE_INVALID]: 400,
  [resultPb.ResultCode.KEY_INVALID]: 400,
  [resultPb.ResultCode.KEY_EXPIRED]: 409,
  [resultPb.ResultCode.KEY_REUSED]: 422,
  [resultPb.ResultCode.UNKNOWN_PATH]: 404,
  [resultPb.ResultCode.WORKSPACE_LIMIT]: 429,
  [resultPb.ResultCode.SHED]: 503,
  [resultPb.ResultCode.DEADLINE_UNREACHABLE]: 503,
  [resultPb.ResultCode.NO_BACKEND_SERVER]: 503,
  [resultPb.ResultCode.SHUTTING_DOWN]: 503,
  [resultPb.ResultCode.EVICTED]: 503,
  [resultPb.ResultCode.QUEUE_FULL]: 503,
  [resultPb.ResultCode.STALE_OFFER]: 503,
  [resultPb.ResultCode.RETRY_BUDGET_SPENT]: 503,
  [resultPb.ResultCode.CANCELLED]: 503,
  [resultPb.ResultCode.QUOTA_SPENT]: 429,
  [resultPb.ResultCode.CONFIGURATION_UNCONFIRMED]: 503,
  [resultPb.ResultCode.CONTENT_SUSPENDED]: 503,
  [resultPb.ResultCode.DOMAINS_EVACUATED]: 503,
  [resultPb.ResultCode.GATEWAY_OVERLOADED]: 503,
  [resultPb.ResultCode.STREAM_VERSION_UNKNOWN]: 503,
  [resultPb.ResultCode.BODY_MEMORY_SPENT]: 503,
  [resultPb.ResultCode.LINK_LOST]: 504,
  [resultPb.ResultCode.AGENT_RESTARTED]: 502,
  [resultPb.ResultCode.KEY_UNDECIDED]: 409,
  [resultPb.ResultCode.ENGINE_FAILED]: 502,
  [resultPb.ResultCode.ENGINE_CRASHED]: 502,
  [resultPb.ResultCode.CONTENT_REFUSED]: 422,
  [resultPb.ResultCode.ANSWER_BROKEN]: 502,
  [resultPb.ResultCode.DEADLINE_EXCEEDED]: 504,
  [resultPb.ResultCode.GATEWAY_STOPPED]: 504,
};

/** Returns the HTTP status of the response for a result code. */
export function getHttpStatus(code: resultPb.ResultCode): number {
  return STATUS_BY_CODE[code] ?? DEFAULT_STATUS;
}
