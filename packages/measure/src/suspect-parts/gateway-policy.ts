/** Drives the decisions of real gateways about prompt parts, with their messages. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as partPolicy from './part-policy.js';

const BOUNDS = {
  leaseMs: 3000,
  entryReturnMs: 2000,
  quotaTolerance: { overage: 0, slack: 0, windowMs: 0 },
  retryRatio: 0.2,
  retryExtra: 10,
  warmUpTolerance: { factor: 1.5, extra: 5 },
};
const PROCESSOR_PERCENT = 50;
/** Lost runs, and standings of parts, in one report. */
const REPORTED_RUNS = 2;
const REPORTED_PARTS = 2;

/** Builds what identifies a gateway. */
function buildIdentity(index: number): gateway.GatewayIdentity {
  return {
    address: `gateway-${index}`,
    life: `life-${index}`,
    failureDomain: 'domain',
    processorPercent: PROCESSOR_PERCENT,
    seeds: [],
    regionByDomain: new Map<string, string>(),
  };
}

/** Builds the fields of a request that decisions about its parts depend on. */
function buildRequest(
  parts: readonly string[],
  run: Partial<partPolicy.LostRun> = {},
): gateway.GatewayRequest {
  const promptParts = [...parts.map((part) => Buffer.from(part).toString('hex')), 'f'];
  const request = {
    arrived: { promptParts, hashContent: () => `${run.serverId} ${run.sentMs} ${parts.join()}` },
    serverId: run.serverId,
    serverBornMs: 1,
    sentMs: run.sentMs,
    firstEventMs: Infinity,
    sends: 0,
    runs: 0,
    isTrial: false,
    soundMs: -Infinity,
  };
  return request as unknown as gateway.GatewayRequest;
}

/** Decides about a request; a trial is recorded as sent at once. */
function admit(
  state: gateway.GatewayState,
  parts: readonly string[],
  now: number,
): partPolicy.Verdict {
  const request = buildRequest(parts);
  if (gateway.findArrivalRefusal(state, request, now) !== undefined) {
    return 'refuse';
  }
  gateway.notePartsSent(state, request, now);
  return request.isTrial ? 'trial' : 'run';
}

/** Applies the reports of all other gateways, by which their turns to try a part are known. */
function applyReports(state: gateway.GatewayState, gateways: number, now: number): void {
  Array.from({ length: gateways }, (_, index) => buildIdentity(index))
    .filter(({ address }) => address !== state.address)
    .forEach((identity) =>
      gateway.applyReport(
        state.peers,
        {
          ...identity,
          sequence: now,
          leaving: false,
          used: new Map(),
          configurationVersion: 1,
          peers: [],
        },
        now,
      ),
    );
}

/** Builds the message of the next report, whose items take turns. */
function buildReport(state: gateway.GatewayState, now: number): schema.LostRuns {
  const pick = <T>(items: readonly T[], limit: number) => {
    const start = Math.floor(state.drawRandom() * items.length);
    return [...items.slice(start), ...items.slice(0, start)].slice(0, limit);
  };
  return schema.create(schema.LostRunsSchema, {
    runs: pick(gateway.listReportPartRuns(state, now), REPORTED_RUNS),
    parts: pick(gateway.listReportStandings(state, now), REPORTED_PARTS),
  });
}

/** Converts messages of which each goes to several gateways. */
function toMessages(messages: readonly gateway.OutgoingMessage[]): partPolicy.Message[] {
  return messages
    .filter(({ to }) => to === messages[0].to)
    .flatMap((message) => (message.kind === 'lostRuns' ? [message.lostRuns] : []))
    .map(toMessage);
}

/** Measures the content of a message. */
function toMessage(content: schema.LostRuns): partPolicy.Message {
  return { content, bytes: schema.toBinary(schema.LostRunsSchema, content).length };
}

/** Creates the policy of gateways as they are. */
export function createGatewayPolicy(gateways: number): partPolicy.CreatePolicy {
  return (index, drawRandom) => {
    const state = gateway.createGatewayState(buildIdentity(index), BOUNDS, drawRandom, 0);
    return {
      noteLost: (run, now) =>
        gateway.noteLostRun(state, buildRequest(run.parts, run), now, run.isSilent),
      noteSound: (parts, now) => {
        gateway.noteSoundRun(state, buildRequest(parts), now);
      },
      admit: (parts, now) => admit(state, parts, now),
      collect: (isReport, now) => {
        if (!isReport) {
          return toMessages(gateway.collectLostRuns(state, now));
        }
        applyReports(state, gateways, now);
        const report = buildReport(state, now);
        return report.runs.length + report.parts.length > 0 ? [toMessage(report)] : [];
      },
      collectAll: (now) => toMessages(gateway.buildLostRunsFor(state, '', now)),
      receive: ({ content }, now) => {
        const { runs, parts } = content as schema.LostRuns;
        gateway.receiveLostRuns(state, runs, now);
        gateway.receivePartStandings(state, parts, now);
      },
      countParts: () => state.partLosses.byPart.size,
    };
  };
}
