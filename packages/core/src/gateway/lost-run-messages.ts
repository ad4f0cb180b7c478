/**
 * Exchanges lost runs with other gateways.
 *
 * A caller whose request has just ended a backend server sends it again at another gateway within
 * milliseconds, so changes are sent at once. Reports repeat them, for gateways that a datagram did
 * not reach.
 */
import * as schema from '@toucanproxy/schema';
import type * as gatewayState from './gateway-state.js';
import * as lostRuns from './lost-runs.js';
import * as messageParts from './message-parts.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as partMessages from './part-messages.js';
import * as peerCounts from './peer-counts.js';
import * as peerView from './peer-view.js';

/** Minimum time between messages that only clear runs, milliseconds. */
const CLEARANCE_INTERVAL_MS = 50;
/** Length of a run in a message besides its texts, characters. */
const RUN_OVERHEAD = 28;
/** How long reports repeat a change, milliseconds. */
const REPEAT_MS = 5000;

/** Counts the length of a run in a message. */
function countLength({ digest, serverId }: lostRuns.DigestedRun): number {
  return digest.length + serverId.length + RUN_OVERHEAD;
}

/** Rounds a duration to whole milliseconds. */
function encodeMs(ms: number): number {
  return Math.round(Math.max(ms, 0));
}

/** Encodes a run; the time of the loss is sent as an age, since clocks of gateways differ. */
function encodeRun(run: lostRuns.DigestedRun, now: number): schema.LostRun {
  return schema.create(schema.LostRunSchema, {
    contentDigest: run.digest,
    serverId: run.serverId,
    serverBornMs: run.bornMs,
    runMs: encodeMs(run.lostMs - run.sentMs),
    ageMs: encodeMs(now - run.lostMs),
    cleared: run.isCleared,
    silent: run.isSilent,
  });
}

/** Builds the messages with some runs for other gateways. */
function buildMessages(
  runs: readonly lostRuns.DigestedRun[],
  receivers: readonly string[],
  now: number,
): outgoingMessage.OutgoingMessage[] {
  return messageParts.listParts(runs, countLength).flatMap((part) => {
    const encoded = part.map((run) => encodeRun(run, now));
    const content = schema.create(schema.LostRunsSchema, { runs: encoded });
    return receivers.map((to) => ({ kind: 'lostRuns' as const, to, lostRuns: content }));
  });
}

/** Lists some reachable gateways, different ones each time if there are many. */
function listReceivers({ peers, drawRandom }: gatewayState.GatewayState, now: number): string[] {
  const reachable = peerCounts.listReachablePeers(peers, now);
  const start = Math.floor(drawRandom() * reachable.length);
  return [...reachable.slice(start), ...reachable.slice(0, start)].slice(0, peerView.MAX_FAN_OUT);
}

/** Builds the messages with all changes of contents that other gateways have not been sent. */
function collectContents(
  state: gatewayState.GatewayState,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  const { unsent } = state.lostRuns;
  const hasLosses = [...unsent.values()].includes(true);
  const isDue = hasLosses || now - state.lostRuns.sentMs >= CLEARANCE_INTERVAL_MS;
  if (unsent.size === 0 || !isDue) {
    return [];
  }
  const runs = lostRuns.listRuns(state.lostRuns, [...unsent.keys()]);
  unsent.clear();
  state.lostRuns.sentMs = now;
  return buildMessages(runs, listReceivers(state, now), now);
}

/** Builds the messages with all changes that other gateways have not been sent. */
export function collectLostRuns(
  state: gatewayState.GatewayState,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  return [
    ...partMessages.collectPartChanges(state, () => listReceivers(state, now), now),
    ...collectContents(state, now),
  ];
}

/** Lists the contents with at least as many losses that count, those with the most first. */
function listContents({ lostRuns: runs }: gatewayState.GatewayState, minLosses: number): string[] {
  return [...runs.byDigest.keys()]
    .map((digest) => ({ digest, losses: lostRuns.listCounted(runs, digest).length }))
    .filter(({ losses }) => losses >= minLosses)
    .sort((a, b) => b.losses - a.losses)
    .map(({ digest }) => digest);
}

/** Builds the messages with the runs that matter most, for a gateway that has just started. */
export function buildLostRunsFor(
  state: gatewayState.GatewayState,
  to: string,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  const runs = lostRuns.listRuns(state.lostRuns, listContents(state, 1));
  return [
    ...buildMessages(runs, [to], now).slice(0, 1),
    ...partMessages.buildPartsFor(state, to, now),
  ];
}

/**
 * Lists the runs that a report may repeat: recent changes, or else those of contents with several
 * losses. A single loss is of no use to a gateway that learns of it late.
 */
export function listReportRuns(state: gatewayState.GatewayState, now: number): schema.LostRun[] {
  const recent = lostRuns
    .listRuns(state.lostRuns, listContents(state, 0))
    .filter(({ changedMs }) => now - changedMs < REPEAT_MS);
  const listed =
    recent.length > 0 ? recent : lostRuns.listRuns(state.lostRuns, listContents(state, 2));
  return listed.map((run) => encodeRun(run, now));
}

/** Applies the runs that another gateway has sent. */
export function receiveLostRuns(
  state: gatewayState.GatewayState,
  runs: readonly schema.LostRun[],
  now: number,
): void {
  partMessages.receivePartRuns(state, runs, now);
  runs
    .filter(({ contentDigest, ageMs }) => contentDigest !== '' && ageMs < lostRuns.KEEP_MS)
    .forEach(({ contentDigest, serverId, serverBornMs, runMs, ageMs, silent, cleared }) =>
      lostRuns.addRun(state.lostRuns, {
        digest: contentDigest,
        serverId,
        bornMs: serverBornMs,
        sentMs: now - ageMs - runMs,
        lostMs: now - ageMs,
        changedMs: now,
        isSilent: silent,
        isCleared: cleared,
      }),
    );
}
