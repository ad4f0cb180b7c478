/** Builds the request that a backend server gets for the request of a caller. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import type * as heldRequest from './held-request.js';
import type * as wireProtocol from './wire-protocol.js';

/**
 * Builds the request; if the stream to the caller has begun, it asks for the events that follow.
 */
export function buildOutgoingRequest(
  protocol: wireProtocol.WireProtocol,
  { request, exchange, events }: heldRequest.HeldRequest,
  server: gateway.BackendServerEntry,
  now: number,
): backendAttempt.OutgoingRequest {
  const { method, target, headers, body, response } = exchange;
  const context = {
    deadlineLeftMs: Math.max(Math.floor(request.giveUpMs - now), 1),
    serverId: server.id,
    workspace: request.workspace === '' ? undefined : request.workspace,
    resumeAfter: response.headersSent ? events?.lastEventId : undefined,
  };
  return {
    attemptId: request.arrived.attemptId,
    method,
    path: target,
    headers: protocol.buildForwardHeaders(endToEndHeaders.listEndToEnd(headers), context),
    body: body.length === 0 ? null : body,
  };
}
