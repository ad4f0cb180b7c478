/** Counts what came of a run: goodput, wasted prefill, delays, refusals, faults. */
import * as proofs from '@toucanproxy/proofs';
import * as schema from '@toucanproxy/schema';
import * as deployments from './deployment.js';

export type TierTally = {
  sent: number;
  /** Completed within the caller's time. */
  inTime: number;
  /** Told as not run. */
  notRun: number;
  firstByteMs: number[];
  /** Times to the end of those completed in time. */
  completedMs: number[];
};

export type Tally = {
  tiers: Record<string, TierTally>;
  /** Prompt tokens worked through, and those of them that served no caller, by cause. */
  prefilled: number;
  wasted: Record<string, number>;
  refusals: Record<string, number>;
  /** Outcomes that must never be: each counted here is a fault of the system. */
  faults: { duplicates: number; crossed: number; cut: number; falselyNotRun: number };
  /** Bytes a second that carry no request or answer, a node. */
  controlBytesPerSecond: number;
};

type Runs = {
  /** Starts by content. */
  starts: Map<string, number>;
  prefilled: number;
  wasted: Record<string, number>;
};

/** Adds to one entry of a table. */
function addTo(table: Record<string, number>, name: string, amount: number): void {
  table[name] = (table[name] ?? 0) + amount;
}

/** Tells whether a call's caller got its whole answer within its time. */
function isInTime(call: proofs.Call): boolean {
  const completed = call.outcomes.some((final) => final.kind === 'completed');
  return completed && call.endedMs - call.sentMs <= call.plan.timeoutMs;
}

/** Finds why the prefill of one ended run served nobody; undefined where it did. */
function findWaste(
  line: proofs.JournalLine,
  calls: Map<string, proofs.Call>,
  ends: Set<string>,
): string | undefined {
  if (line.event === 'crash') {
    return 'crashed';
  }
  if (line.event === 'cut') {
    return 'cut';
  }
  const { contentId } = line.payload;
  if (ends.has(contentId)) {
    return 'repeated';
  }
  ends.add(contentId);
  const call = calls.get(contentId);
  return call !== undefined && isInTime(call) ? undefined : 'too late';
}

/** Goes through the journals of all engines. */
function countRuns(fleet: proofs.VirtualFleet, calls: Map<string, proofs.Call>): Runs {
  const runs: Runs = { starts: new Map(), prefilled: 0, wasted: {} };
  const ends = new Set<string>();
  [...fleet.agents.values()].forEach((agent) =>
    agent.engine.journal.forEach((line) => {
      const { contentId } = line.payload;
      if (line.event === 'start') {
        runs.starts.set(contentId, (runs.starts.get(contentId) ?? 0) + 1);
        return;
      }
      runs.prefilled += line.prefilledTokens;
      const cause = findWaste(line, calls, ends);
      if (cause !== undefined) {
        addTo(runs.wasted, cause, line.prefilledTokens);
      }
    }),
  );
  return runs;
}

/** Counts one call into its tier and the table of refusals. */
function countCall(tally: Tally, tier: string, call: proofs.Call): void {
  const counts = tally.tiers[tier] ?? {
    sent: 0,
    inTime: 0,
    notRun: 0,
    firstByteMs: [],
    completedMs: [],
  };
  tally.tiers[tier] = counts;
  counts.sent += 1;
  if (isInTime(call)) {
    counts.inTime += 1;
    counts.completedMs.push(call.endedMs - call.sentMs);
  }
  if (call.headCount > 0) {
    counts.firstByteMs.push(call.firstByteMs - call.sentMs);
  }
  const [final] = call.outcomes;
  if (final?.kind !== 'failed') {
    addTo(tally.refusals, final?.kind === 'broken' ? 'connection broken' : 'completed', 1);
    return;
  }
  counts.notRun += final.runState === schema.RunState.NOT_RUN ? 1 : 0;
  addTo(tally.refusals, schema.ResultCode[final.code], 1);
}

/** Counts outcomes that must never be. */
function countFaults(tally: Tally, call: proofs.Call, starts: number): void {
  const { payload, path } = call.plan;
  const [final] = call.outcomes;
  const whole = proofs.buildCompleteResponse(payload);
  const once = path === '/v1/chat/completions';
  tally.faults.duplicates += once && starts > 1 ? 1 : 0;
  tally.faults.crossed += whole.startsWith(call.text) ? 0 : 1;
  tally.faults.cut += final?.kind === 'completed' && call.text !== whole ? 1 : 0;
  const toldNotRun = final?.kind === 'failed' && final.runState === schema.RunState.NOT_RUN;
  tally.faults.falselyNotRun += toldNotRun && starts > 0 ? 1 : 0;
}

/** Counts a whole run. */
export function countTally(
  fleet: proofs.VirtualFleet,
  deployment: deployments.Deployment,
  controlBytesPerSecond: number,
): Tally {
  const calls = new Map(fleet.calls.map((call) => [call.plan.payload.contentId, call]));
  const runs = countRuns(fleet, calls);
  const tally: Tally = {
    tiers: {},
    prefilled: runs.prefilled,
    wasted: runs.wasted,
    refusals: {},
    faults: { duplicates: 0, crossed: 0, cut: 0, falselyNotRun: 0 },
    controlBytesPerSecond,
  };
  fleet.calls.forEach((call) => {
    const one = deployment.classes.find((candidate) => candidate.token === call.plan.token);
    countCall(tally, one?.tier ?? '', call);
    countFaults(tally, call, runs.starts.get(call.plan.payload.contentId) ?? 0);
  });
  return tally;
}
