/** Builds the messages that an agent sends to an entry. */
import * as schema from '@toucanproxy/schema';
import * as agentEvent from './agent-event.js';
import * as runRecord from './run-record.js';

type Body = schema.AgentMessage['body'];

/** Builds the effect that sends one message over one link. */
export function sendToEntry(linkId: number, body: Body): agentEvent.AgentEffect {
  const message = schema.create(schema.AgentMessageSchema, { body });
  return { kind: 'sendToEntry', linkId, message };
}

/** Builds the confirmation that an attempt has not run and never will. */
export function buildNotRun(
  ref: schema.AttemptRef,
  code: schema.ResultCode,
  retryAfterMs: number,
): Body {
  return {
    case: 'notRun',
    value: schema.create(schema.NotRunSchema, { ref, code, retryAfterMs }),
  };
}

/** Builds the report of an attempt that was started and did not complete. */
export function buildRunFailed(ref: schema.AttemptRef, code: schema.ResultCode): Body {
  return { case: 'failed', value: schema.create(schema.RunFailedSchema, { ref, code }) };
}

/** Builds the acceptance of an offer. */
export function buildAccepted(ref: schema.AttemptRef): Body {
  return { case: 'accepted', value: schema.create(schema.AcceptedSchema, { ref }) };
}

/** Builds the notice that an attempt was started. */
export function buildStarted(ref: schema.AttemptRef): Body {
  return { case: 'started', value: schema.create(schema.StartedSchema, { ref }) };
}

/** Builds one part of a response. */
export function buildPart(
  ref: schema.AttemptRef,
  sequence: number,
  content: runRecord.PartContent,
): Body {
  return {
    case: 'part',
    value: schema.create(schema.AnswerPartSchema, { ref, sequence, content }),
  };
}

/** Builds the grant that says for how long a slot is held for a request. */
export function buildGrant(requestId: string, holdMs: number): Body {
  return { case: 'grant', value: schema.create(schema.GrantSchema, { requestId, holdMs }) };
}

/** Builds the refusal of a reservation. */
export function buildReserveRefused(
  requestId: string,
  code: schema.ResultCode,
  retryAfterMs: number,
): Body {
  const value = schema.create(schema.ReserveRefusedSchema, { requestId, code, retryAfterMs });
  return { case: 'reserveRefused', value };
}
