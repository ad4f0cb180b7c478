/** Builds the replies of a scheduler to the gateways that ask for slots. */
import * as schema from '@toucanproxy/schema';
import type * as candidates from './candidates.js';
import type * as cells from './cell.js';
import * as placeCount from './place-count.js';
import type * as places from './places.js';
import type * as schedulers from './scheduler.js';

/** A reply and the address of the gateway to which it is sent. */
export type AddressedReply = { to: string; reply: schema.ScheduleReply };

/** Maximum number of items of each kind in a reply, so that it fits a datagram of 1,400 bytes. */
const MAX_ENTRIES = 16;
/** Maximum number of grants in a reply; lower, as each may carry a backend server entry. */
const MAX_GRANTS = 8;

/** Removes and returns the first items of a list, at most as many as fit a reply. */
function takeFirst<T>(list: T[]): T[] {
  return list.splice(0, MAX_ENTRIES);
}

/** Removes the first grants of a list and returns them as messages. */
function takeGrants(grants: cells.PlaceGrant[]): schema.PlaceGrant[] {
  return grants.splice(0, MAX_GRANTS).map((grant) => schema.create(schema.PlaceGrantSchema, grant));
}

/** Reports whether a reply has content besides the counts of the cell. */
function hasContent({ accepted, unknown, grants, refusals }: cells.PendingReply): boolean {
  return accepted.length + unknown.length + grants.length + refusals.length > 0;
}

/** Builds the replies to one gateway; several if one would be too large. */
function buildReplies(
  { address, life }: schedulers.Scheduler,
  cell: cells.Cell,
  asker: cells.CellAsker,
  count: places.PlaceCount,
): schema.ScheduleReply[] {
  const { reply } = asker;
  const replies: schema.ScheduleReply[] = [];
  while (reply.isDue || hasContent(reply)) {
    reply.isDue = false;
    replies.push(
      schema.create(schema.ScheduleReplySchema, {
        address,
        life,
        cell: cell.name,
        echo: asker.sequence,
        accepted: takeFirst(reply.accepted),
        unknown: takeFirst(reply.unknown),
        grants: takeGrants(reply.grants),
        refusals: takeFirst(reply.refusals),
        places: count.all,
        taken: count.taken,
        queued: cell.queue.items.length,
      }),
    );
  }
  return replies;
}

/** Collects the replies that are due to the gateways. */
export function collectReplies(
  scheduler: schedulers.Scheduler,
  findServers: (cellName: string) => candidates.CellServers,
  now: number,
): AddressedReply[] {
  return [...scheduler.cells.values()].flatMap((cell) => {
    const recipients = [...cell.askers].filter(([, { reply }]) => reply.isDue || hasContent(reply));
    if (recipients.length === 0) {
      return [];
    }
    const count = placeCount.countPlaces(scheduler.address, cell, findServers(cell.name), now);
    return recipients.flatMap(([to, asker]) =>
      buildReplies(scheduler, cell, asker, count).map((reply) => ({ to, reply })),
    );
  });
}
