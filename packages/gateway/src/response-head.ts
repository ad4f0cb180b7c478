/** Judges whether a response belongs to the request that was sent, by its status and headers. */
import * as gateway from '@toucanproxy/core/gateway';
import * as endToEndHeaders from './end-to-end-headers.js';
import type * as heldRequest from './held-request.js';
import type * as wireProtocol from './wire-protocol.js';

/** What a response states about the type of its body. */
export enum BodyType {
  EVENTS = 'events',
  OTHER = 'other',
  UNSTATED = 'unstated',
}

const MAX_SUCCESS = 299;
/** A higher status is none (RFC 9110, section 15); the HTTP parser accepts any of three digits. */
const MAX_STATUS = 599;
const EVENT_STREAM_TYPE = 'text/event-stream';

/** Finds the fault that the status and headers of a response show. */
export function findHeadFault(
  attemptId: string,
  head: heldRequest.ResponseHead,
  parsed: wireProtocol.ParsedResponseHeaders,
  isNewConnection: boolean,
): { fault: gateway.AttemptFault; reason: string } | undefined {
  if (head.status > MAX_STATUS) {
    return { fault: gateway.AttemptFault.BROKEN, reason: 'status-invalid' };
  }
  const isSameRequest = parsed.attemptId === attemptId;
  const notRun = parsed.isNotRun || parsed.isMisdirected;
  // A refusal by a backend server may lack the id. On a new connection it cannot belong to another
  // request.
  if (!isSameRequest && !(parsed.attemptId === undefined && notRun && isNewConnection)) {
    return { fault: gateway.AttemptFault.BROKEN, reason: 'other-request' };
  }
  if (parsed.isMisdirected) {
    return { fault: gateway.AttemptFault.MISDIRECTED, reason: 'misdirected' };
  }
  if (parsed.isNotRun) {
    return { fault: gateway.AttemptFault.REFUSED, reason: String(head.status) };
  }
  const isSuccess = head.status <= MAX_SUCCESS;
  return isSuccess && (!parsed.isSigned || endToEndHeaders.isCoded(head.headers))
    ? { fault: gateway.AttemptFault.BROKEN, reason: 'not-the-servers' }
    : undefined;
}

/**
 * Returns whether a response comes from the intended backend server. A refusal without an id may
 * belong to an earlier request on the connection. It then does not count as the response to this
 * request, but what it states about the backend server is still valid.
 */
export function isFromServer(
  { attemptId, isNotRun, isMisdirected }: wireProtocol.ParsedResponseHeaders,
  fault: gateway.AttemptFault | undefined,
): boolean {
  const isPlainRefusal = attemptId === undefined && isNotRun && !isMisdirected;
  return fault === undefined || fault === gateway.AttemptFault.REFUSED || isPlainRefusal;
}

/** Detects the type that a response states for its body; of several types, events go first. */
export function detectBodyType(headers: wireProtocol.RawHeaders): BodyType {
  const types = endToEndHeaders
    .listItems(headers, 'content-type')
    .map((item) => item.split(';')[0].trim())
    .filter((type) => type !== '');
  if (types.length === 0) {
    return BodyType.UNSTATED;
  }
  return types.includes(EVENT_STREAM_TYPE) ? BodyType.EVENTS : BodyType.OTHER;
}
