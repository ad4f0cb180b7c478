/**
 * Exchanges with other gateways which parts of prompts were in lost runs, in sound ones and in
 * trials.
 */
import * as schema from '@toucanproxy/schema';
import type * as gatewayState from './gateway-state.js';
import * as lostRuns from './lost-runs.js';
import * as messageParts from './message-parts.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as partLosses from './part-losses.js';
import * as partSuspension from './part-suspension.js';

/** Minimum time between messages without lost runs and trials, milliseconds. */
const CLEARANCE_INTERVAL_MS = 50;
/** Length of a run in a message besides its server's id and its parts, characters. */
const RUN_OVERHEAD = 32;
const PART_LENGTH = 8;
const STANDING_LENGTH = 24;
/** How long reports repeat a change, milliseconds. */
const REPEAT_MS = 5000;
/** Limit of the parts that reports repeat, and of those in one run of them. */
const MAX_REPORTED_PARTS = 8;
/** Losses from which on a part is repeated in reports. */
const MIN_REPORTED_LOSSES = 2;
/** Limit of the parts that a gateway is told that has just started. */
const MAX_FIRST_PARTS = 32;
const PART_PATTERN = /^[0-9a-f]{1,16}$/;
const HEX = 16;

/** Encodes the id of a part, a hexadecimal number. */
function encodePart(part: string): bigint {
  return BigInt(`0x${part}`);
}

/** Decodes the id of a part. */
function decodePart(part: bigint): string {
  return part.toString(HEX);
}

/** Rounds a duration to whole milliseconds. */
function encodeMs(ms: number): number {
  return Math.round(Math.max(ms, 0));
}

/** Encodes a run; the time of the loss is sent as an age, since clocks of gateways differ. */
function encodeRun(run: partLosses.LostPartRun, now: number): schema.LostRun {
  return schema.create(schema.LostRunSchema, {
    serverId: run.serverId,
    serverBornMs: run.bornMs,
    runMs: encodeMs(run.lostMs - run.sentMs),
    ageMs: encodeMs(now - run.lostMs),
    silent: run.isSilent,
    parts: run.parts.filter((part) => PART_PATTERN.test(part)).map(encodePart),
  });
}

/** Encodes the standing of a part. */
function encodeStanding(
  { byPart }: partLosses.PartLosses,
  part: string,
  now: number,
): schema.PartStanding[] {
  const record = byPart.get(part);
  if (record === undefined) {
    return [];
  }
  const { soundMs, trials, trialMs } = record;
  return [
    schema.create(schema.PartStandingSchema, {
      part: encodePart(part),
      trials,
      ...(soundMs > -Infinity ? { soundAgeMs: encodeMs(now - soundMs) } : {}),
      ...(trials > 0 ? { trialAgeMs: encodeMs(now - trialMs) } : {}),
    }),
  ];
}

/** Lists the lost runs with some parts; runs that are alike but for their parts become one. */
function listRuns(
  { byPart }: partLosses.PartLosses,
  parts: readonly string[],
  isListed: (loss: partLosses.PartLoss) => boolean = () => true,
): partLosses.LostPartRun[] {
  const runs = new Map<string, partLosses.LostPartRun & { parts: string[] }>();
  parts.forEach((part) =>
    byPart
      .get(part)
      ?.losses.filter(isListed)
      .forEach((loss) => {
        const key = [loss.serverId, loss.bornMs, loss.sentMs, loss.lostMs].join();
        const known = runs.get(key);
        if (known === undefined) {
          runs.set(key, { ...loss, parts: [part] });
        } else {
          known.parts.push(part);
        }
      }),
  );
  return [...runs.values()];
}

/** Lists the parts with at least as many losses that count, those with the most first. */
function listParts(losses: partLosses.PartLosses, minLosses: number): string[] {
  return [...losses.byPart]
    .filter(([, record]) => record.losses.length >= minLosses)
    .map(([part, record]) => ({
      part,
      count: partLosses.listCountedLosses(losses, record).length,
    }))
    .filter(({ count }) => count >= minLosses)
    .sort((a, b) => b.count - a.count)
    .map(({ part }) => part);
}

/** Builds the messages with some runs and standings of parts for other gateways. */
function buildMessages(
  runs: readonly partLosses.LostPartRun[],
  standings: readonly schema.PartStanding[],
  receivers: readonly string[],
  now: number,
): outgoingMessage.OutgoingMessage[] {
  const countLength = ({ serverId, parts }: partLosses.LostPartRun) =>
    serverId.length + RUN_OVERHEAD + parts.length * PART_LENGTH;
  const contents = [
    ...messageParts
      .listParts(standings, () => STANDING_LENGTH)
      .map((parts) => schema.create(schema.LostRunsSchema, { parts })),
    ...messageParts
      .listParts(runs, countLength)
      .map((part) =>
        schema.create(schema.LostRunsSchema, { runs: part.map((run) => encodeRun(run, now)) }),
      ),
  ];
  return contents.flatMap((content) =>
    receivers.map((to) => ({ kind: 'lostRuns' as const, to, lostRuns: content })),
  );
}

/** Builds the messages with all changes that other gateways have not been sent. */
export function collectPartChanges(
  { partLosses: losses }: gatewayState.GatewayState,
  listReceivers: () => readonly string[],
  now: number,
): outgoingMessage.OutgoingMessage[] {
  const { unsentRuns, unsentParts } = losses;
  const hasTrial = [...unsentParts].some((part) => losses.byPart.get(part)?.trialMs === now);
  const isDue = unsentRuns.length > 0 || hasTrial || now - losses.sentMs >= CLEARANCE_INTERVAL_MS;
  if (unsentRuns.length + unsentParts.size === 0 || !isDue) {
    return [];
  }
  const standings = [...unsentParts].flatMap((part) => encodeStanding(losses, part, now));
  Object.assign(losses, { unsentRuns: [], unsentParts: new Set(), sentMs: now });
  return buildMessages(unsentRuns, standings, listReceivers(), now);
}

/** Builds the messages with the parts that matter most, for a gateway that has just started. */
export function buildPartsFor(
  { partLosses: losses }: gatewayState.GatewayState,
  to: string,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  if (losses.byPart.size === 0) {
    return [];
  }
  const suspended = [...partSuspension.listSuspendedParts(losses).keys()];
  const others = listParts(losses, 1);
  const parts = [...new Set([...suspended, ...others])].slice(0, MAX_FIRST_PARTS);
  const standings = parts.flatMap((part) => encodeStanding(losses, part, now));
  const runs = listRuns(losses, parts);
  return [
    ...buildMessages([], standings, [to], now).slice(0, 1),
    ...buildMessages(runs, [], [to], now).slice(0, 1),
  ];
}

/** Lists the parts that reports repeat: refused ones, and those with several losses. */
function listReportedParts(losses: partLosses.PartLosses): string[] {
  const suspended = [...partSuspension.listSuspendedParts(losses).keys()];
  const parts = new Set([...suspended, ...listParts(losses, MIN_REPORTED_LOSSES)]);
  return [...parts].slice(0, MAX_REPORTED_PARTS);
}

/** Lists the runs with such parts that a report may repeat: recent ones, or all if none is. */
export function listReportPartRuns(
  { partLosses: losses }: gatewayState.GatewayState,
  now: number,
): schema.LostRun[] {
  const parts = losses.byPart.size > 0 ? listReportedParts(losses) : [];
  const recent = listRuns(losses, parts, ({ changedMs }) => now - changedMs < REPEAT_MS);
  const runs = recent.length > 0 ? recent : listRuns(losses, parts);
  return runs.map((run) => encodeRun(run, now));
}

/** Lists the standings of the parts that a report may repeat. */
export function listReportStandings(
  { partLosses: losses }: gatewayState.GatewayState,
  now: number,
): schema.PartStanding[] {
  const parts = losses.byPart.size > 0 ? listReportedParts(losses) : [];
  return parts.flatMap((part) => encodeStanding(losses, part, now));
}

/** Applies the parts of lost runs that another gateway has sent. */
export function receivePartRuns(
  { partLosses: losses }: gatewayState.GatewayState,
  runs: readonly schema.LostRun[],
  now: number,
): void {
  runs
    .filter(({ parts, ageMs }) => parts.length > 0 && ageMs < lostRuns.KEEP_MS)
    .forEach(({ parts, serverId, serverBornMs, runMs, ageMs, silent }) =>
      partLosses.addLostRun(
        losses,
        {
          parts: parts.map(decodePart),
          serverId,
          bornMs: serverBornMs,
          sentMs: now - ageMs - runMs,
          lostMs: now - ageMs,
          isSilent: silent,
        },
        now,
      ),
    );
}

/** Applies the standings of parts that another gateway has sent. */
export function receivePartStandings(
  { partLosses: losses }: gatewayState.GatewayState,
  standings: readonly schema.PartStanding[],
  now: number,
): void {
  standings.forEach(({ part, soundAgeMs, trials, trialAgeMs }) =>
    partLosses.mergeStanding(losses, decodePart(part), {
      soundMs: soundAgeMs === undefined ? -Infinity : now - soundAgeMs,
      trials,
      trialMs: trialAgeMs === undefined ? -Infinity : now - trialAgeMs,
    }),
  );
}
