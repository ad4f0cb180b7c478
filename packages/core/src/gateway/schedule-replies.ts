/**
 * What schedulers answer.
 *
 * Nothing that must always hold depends on an answer: a grant lets a request go to a
 * backend server, once, while it waits here. Answers that are lost, doubled, late or
 * from a scheduler that is not asked any more cost time only.
 */
import type * as schema from '@toucanproxy/schema';
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as storeRevision from '../shared/store-revision.js';
import * as scheduler from '../scheduler/index.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as schedulerLink from './scheduler-link.js';
import * as schedulerRanking from './scheduler-ranking.js';

/** What a scheduler decided on a request that waits here. */
export type ReplyOutcome =
  | {
      kind: 'granted';
      request: gatewayRequest.GatewayRequest;
      serverId: string;
      idleFirstMs: number;
      /** What the scheduler knows of the backend server, where that may be news. */
      entry: backendServerEntry.BackendServerEntry | undefined;
      isRateLimited: boolean;
      scheduler: string;
    }
  | {
      kind: 'declined';
      request: gatewayRequest.GatewayRequest;
      isOnArrival: boolean;
      retryAfterMs: number;
    };

/** Takes in one grant; gives nothing where its request does not wait for it. */
function applyGrant(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  grant: schema.PlaceGrant,
  isFresh: boolean,
): ReplyOutcome[] {
  const { number, serial, serverId, idleFirstMs, isRateLimited } = grant;
  const entry = grant.entry && {
    ...grant.entry,
    id: serverId,
    leaving: false,
    revision: grant.entry.revision ?? storeRevision.EARLIEST_REVISION,
  };
  link.lastGrant = Math.max(link.lastGrant, number);
  const ask = link.asks.get(serial);
  const request = state.requests.get(serial);
  if (ask === undefined || request === undefined || !isFresh) {
    state.schedulingTotals.grantsUnused += 1;
    link.isDirty = true;
    if (ask !== undefined) {
      ask.isAccepted = false;
    }
    return [];
  }
  link.asks.delete(serial);
  return [
    {
      kind: 'granted',
      request,
      serverId,
      idleFirstMs,
      entry,
      isRateLimited,
      scheduler: link.address,
    },
  ];
}

/** Takes in one refusal. */
function applyRefusal(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  { serial, isOnArrival, retryAfterMs }: schema.PlaceRefusal,
): ReplyOutcome[] {
  const request = state.requests.get(serial);
  if (!link.asks.delete(serial) || request === undefined) {
    return [];
  }
  return [{ kind: 'declined', request, isOnArrival, retryAfterMs }];
}

/**
 * Takes in a reply.
 *
 * A grant was decided after the ask that the reply echoes was sent. One whose ask was
 * sent too long ago is not used: a scheduler that was suspended wakes and sends what it
 * had decided before, and another one has given the place out since.
 */
export function applyReply(
  state: gatewayState.GatewayState,
  reply: schema.ScheduleReply,
  now: number,
): ReplyOutcome[] {
  const link = state.links.get(reply.cell);
  if (link?.address !== reply.address) {
    return [];
  }
  schedulerRanking.clearUnreachable(state.ranking, reply.address);
  const askedMs = link.sentMs.get(reply.echo) ?? -Infinity;
  schedulerLink.noteReply(link, reply.life, reply.echo);
  link.places = reply.places;
  link.load = reply.taken + reply.queued;
  reply.accepted.forEach((serial) => {
    const ask = link.asks.get(serial);
    if (ask !== undefined) {
      ask.isAccepted = true;
    }
  });
  reply.unknown.forEach((serial) => {
    const ask = link.asks.get(serial);
    if (ask !== undefined) {
      ask.isAccepted = false;
      link.isDirty = true;
    }
  });
  const isFresh = now - askedMs <= scheduler.GRANT_USE_MS;
  return [
    ...reply.grants.flatMap((grant) => applyGrant(state, link, grant, isFresh)),
    ...reply.refusals.flatMap((refusal) => applyRefusal(state, link, refusal)),
  ];
}
