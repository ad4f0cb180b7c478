/** Messages to other gateways. */
import type * as schema from '@toucanproxy/schema';

/** A message to another gateway; `to` is its address. */
export type OutgoingMessage =
  | { kind: 'ask'; to: string; ask: schema.ScheduleAsk }
  | { kind: 'reply'; to: string; reply: schema.ScheduleReply }
  | { kind: 'lostRuns'; to: string; lostRuns: schema.LostRuns }
  | { kind: 'origins'; to: string; origins: schema.StreamOrigins }
  | { kind: 'originQuery'; to: string; originQuery: schema.StreamOriginQuery };
