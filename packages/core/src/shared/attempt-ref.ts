/** Identity of one try to run one request on one agent. */
import * as schema from '@toucanproxy/schema';

/** Formats a reference as a map key. */
export function toRefKey(ref: schema.AttemptRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}

/** Builds a reference. */
export function buildRef(requestId: string, attempt: number): schema.AttemptRef {
  return schema.create(schema.AttemptRefSchema, { requestId, attempt });
}
