/** Responses that the gateway generates itself. */
import type * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';

const MS_PER_SECOND = 1000;

/** Builds the response for a request that is refused. */
export function buildLocalResponse({ code, retryAfterMs }: gateway.Refusal): runtime.LocalResponse {
  const retryAfter: Record<string, string> =
    retryAfterMs === undefined ? {} : { 'retry-after': String(retryAfterMs / MS_PER_SECOND) };
  return {
    status: schema.getHttpStatus(code),
    headers: {
      'content-type': 'application/json',
      'x-toucanproxy-result': String(code),
      ...retryAfter,
    },
    body: JSON.stringify({ error: { code, name: schema.ResultCode[code] } }),
  };
}
