/** References to attempts; an attempt is one try to run a request on an agent. */
import * as schema from '@toucanproxy/schema';

/** Formats a reference as a map key. */
export function toRefKey(ref: schema.AttemptRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}

/** Builds a reference to an attempt. */
export function buildRef(requestId: string, attempt: number): schema.AttemptRef {
  return schema.create(schema.AttemptRefSchema, { requestId, attempt });
}
