/** HTTP statuses of results, the same for all processes that answer callers. */
import * as resultPb from './generated/toucanproxy/v1/result_pb.js';

const { ResultCode } = resultPb;
const DEFAULT_STATUS = 500;

/** HTTP status for each code; docs/RESULT-CODES.md explains them. */
const STATUS_BY_CODE: Partial<Record<resultPb.ResultCode, number>> = {
  [ResultCode.COMPLETED]: 200,
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
  [ResultCode.STALE_OFFER]: 503,
  [ResultCode.RETRY_BUDGET_SPENT]: 503,
  [ResultCode.CANCELLED]: 503,
  [ResultCode.QUOTA_SPENT]: 429,
  [ResultCode.CONFIGURATION_UNCONFIRMED]: 503,
  [ResultCode.CONTENT_SUSPENDED]: 503,
  [ResultCode.DOMAINS_EVACUATED]: 503,
  [ResultCode.LINK_LOST]: 504,
  [ResultCode.AGENT_RESTARTED]: 502,
  [ResultCode.KEY_UNDECIDED]: 409,
  [ResultCode.ENGINE_FAILED]: 502,
  [ResultCode.ENGINE_CRASHED]: 502,
  [ResultCode.CONTENT_REFUSED]: 422,
  [ResultCode.ANSWER_BROKEN]: 502,
  [ResultCode.DEADLINE_EXCEEDED]: 504,
};

/** Gets the HTTP status that a result is answered with. */
export function getStatus(code: resultPb.ResultCode): number {
  return STATUS_BY_CODE[code] ?? DEFAULT_STATUS;
}
