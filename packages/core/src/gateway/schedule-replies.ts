/**
 * Applies the replies of schedulers.
 *
 * No safety property depends on a reply: a grant allows a request that waits at this gateway to be
 * sent once to a backend server. A reply that is lost, duplicated, late or from a replaced
 * scheduler only costs time.
 */
import type * as schema from '@toucanproxy/schema';
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as storeRevision from '../shared/store-revision.js';
import * as scheduler from '../scheduler/index.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as schedulerLink from './scheduler-link.js';
import * as schedulerRanking from './scheduler-ranking.js';

/** A scheduler's decision on a waiting request of this gateway. */
export type ReplyOutcome =
  | {
      kind: 'granted';
      request: gatewayRequest.GatewayRequest;
      serverId: string;
      idleFirstMs: number;
      aheadMs: number;
      predictedFirstMs: number;
      /** The server's store entry, if this gateway may not have read it from the store yet. */
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

/** Applies one grant; ignores it if it is too old or its request is not waiting for it. */
function applyGrant(
  state: gatewayState.GatewayState,
  link: schedulerLink.SchedulerLink,
  grant: schema.PlaceGrant,
  isFresh: boolean,
): ReplyOutcome[] {
  const { number, serial, serverId, isRateLimited } = grant;
  const { idleFirstMs, aheadMs, predictedFirstMs } = grant;
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
      aheadMs,
      predictedFirstMs,
      entry,
      isRateLimited,
      scheduler: link.address,
    },
  ];
}

/** Applies one decline (`PlaceRefusal`); ignores it if its request is not waiting for it. */
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
 * Applies a reply.
 *
 * A grant was decided after the ask that the reply echoes was sent. It is not used if that ask was
 * sent too long ago: a scheduler that was suspended may resume and send old decisions after
 * another scheduler has granted the same slot.
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
  if (reply.echo > link.lastAnsweredSequence && Number.isFinite(askedMs)) {
    schedulerLink.noteReplyTime(link, now - askedMs);
  }
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
