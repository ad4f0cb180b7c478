/** Scenarios of randomised runs: plain data that lists the calls and the faults with times. */
import * as fastCheck from 'fast-check';

export type Resend = { entry: number; afterMs: number };

export type CallSpec = {
  atMs: number;
  entry: number;
  urgent: boolean;
  /** The route allows only one dispatch of a request. */
  once: boolean;
  stream: boolean;
  promptTokens: number;
  answerTokens: number;
  timeoutMs: number;
  /** When the caller disconnects; 0 for never. */
  leaveAfterMs: number;
  /** The content crashes the engine. */
  poison: boolean;
  /** The key does not contain its time of issue. */
  plainKey: boolean;
  /** Resends with the same key; each is skipped if the call has completed by then. */
  resends: Resend[];
};

/** A fault; `told` means that the peers of a stopped process see its connections close. */
export type FaultSpec = { atMs: number } & (
  | { kind: 'agentStopped'; agent: number; told: boolean; downMs: number }
  | { kind: 'entryStopped'; entry: number; told: boolean; downMs: number }
  | { kind: 'agentShutDown'; agent: number; downMs: number }
  | { kind: 'entryShutDown'; entry: number; downMs: number }
  | { kind: 'agentPaused'; agent: number; ms: number }
  | { kind: 'entryPaused'; entry: number; ms: number }
  | { kind: 'engineCrashed'; agent: number }
  | { kind: 'engineSlowed'; agent: number; factor: number; ms: number }
  | { kind: 'linkSilent'; entry: number; agent: number }
  | { kind: 'linkClosed'; entry: number; agent: number }
  | { kind: 'partition'; entries: number[]; agents: number[]; ms: number }
  | { kind: 'messagesDoubled'; percent: number; ms: number }
  | { kind: 'documentOut'; ms: number }
  | { kind: 'documentStale'; ms: number }
  | { kind: 'documentPublished'; leaving: number[] }
  | { kind: 'vmLeaving'; agent: number }
  | { kind: 'burst'; count: number; urgentPercent: number; entry: number }
);

export type Scenario = {
  seed: number;
  entries: number;
  agents: number;
  maxRunning: number;
  maxQueued: number;
  calls: CallSpec[];
  faults: FaultSpec[];
};

/** Length of the period in which calls and faults begin, milliseconds. */
export const ACTIVE_MS = 8000;
const MAX_ENTRIES = 3;
const MAX_AGENTS = 4;
export const LONGEST_FAULT_MS = 6000;
/** Longest time after which a caller resends, milliseconds. */
export const LONGEST_RESEND_MS = 9000;

const index = fastCheck.nat({ max: 11 });
const duration = fastCheck.integer({ min: 50, max: LONGEST_FAULT_MS });

/** Options for generated scenarios. */
export type ScenarioOptions = {
  /** Some callers resend with the same key. */
  resends: boolean;
};

/** Builds the generator of calls. */
function buildCalls(options: ScenarioOptions): fastCheck.Arbitrary<CallSpec> {
  const resend = fastCheck.record({
    entry: index,
    afterMs: fastCheck.integer({ min: 1, max: LONGEST_RESEND_MS }),
  });
  return fastCheck.record({
    atMs: fastCheck.nat({ max: ACTIVE_MS }),
    entry: index,
    urgent: fastCheck.boolean(),
    once: fastCheck.boolean(),
    stream: fastCheck.boolean(),
    promptTokens: fastCheck.integer({ min: 1, max: 3000 }),
    answerTokens: fastCheck.integer({ min: 1, max: 60 }),
    timeoutMs: fastCheck.integer({ min: 300, max: 8000 }),
    leaveAfterMs: fastCheck.oneof(
      { weight: 4, arbitrary: fastCheck.constant(0) },
      { weight: 1, arbitrary: fastCheck.integer({ min: 1, max: 3000 }) },
    ),
    poison: fastCheck.integer({ min: 0, max: 39 }).map((draw) => draw === 39),
    plainKey: fastCheck.integer({ min: 0, max: 4 }).map((draw) => draw === 4),
    resends: fastCheck.oneof(
      { weight: 2, arbitrary: fastCheck.constant<Resend[]>([]) },
      {
        weight: options.resends ? 1 : 0,
        arbitrary: fastCheck.array(resend, { minLength: 1, maxLength: 3 }),
      },
    ),
  });
}

/** Builds the generator of one kind of fault from those of its fields. */
function buildFault<T extends Record<string, unknown>>(
  kind: FaultSpec['kind'],
  fields: { [K in keyof T]: fastCheck.Arbitrary<T[K]> },
): fastCheck.Arbitrary<FaultSpec> {
  const atMs = fastCheck.nat({ max: ACTIVE_MS });
  return fastCheck.record({ atMs, kind: fastCheck.constant(kind), ...fields }) as never;
}

/** Builds the generator of faults of every kind. */
function buildFaults(): fastCheck.Arbitrary<FaultSpec> {
  const some = fastCheck.uniqueArray(index, { minLength: 1, maxLength: 3 });
  const told = fastCheck.boolean();
  return fastCheck.oneof(
    buildFault('agentStopped', { agent: index, told, downMs: duration }),
    buildFault('entryStopped', { entry: index, told, downMs: duration }),
    buildFault('agentShutDown', { agent: index, downMs: duration }),
    buildFault('entryShutDown', { entry: index, downMs: duration }),
    buildFault('agentPaused', { agent: index, ms: duration }),
    buildFault('entryPaused', { entry: index, ms: duration }),
    buildFault('engineCrashed', { agent: index }),
    buildFault('engineSlowed', {
      agent: index,
      factor: fastCheck.integer({ min: 2, max: 20 }),
      ms: duration,
    }),
    buildFault('linkSilent', { entry: index, agent: index }),
    buildFault('linkClosed', { entry: index, agent: index }),
    buildFault('partition', { entries: some, agents: some, ms: duration }),
    buildFault('messagesDoubled', {
      percent: fastCheck.integer({ min: 5, max: 60 }),
      ms: duration,
    }),
    buildFault('documentOut', { ms: duration }),
    buildFault('documentStale', { ms: duration }),
    buildFault('documentPublished', {
      leaving: fastCheck.uniqueArray(index, { maxLength: 1 }),
    }),
    buildFault('vmLeaving', { agent: index }),
    buildFault('burst', {
      count: fastCheck.integer({ min: 5, max: 40 }),
      urgentPercent: fastCheck.integer({ min: 0, max: 100 }),
      entry: index,
    }),
  );
}

/** Builds the generator of scenarios. */
export function buildScenarios(options: ScenarioOptions): fastCheck.Arbitrary<Scenario> {
  return fastCheck.record({
    seed: fastCheck.noShrink(fastCheck.integer({ min: 1, max: 1_000_000 })),
    entries: fastCheck.integer({ min: 1, max: MAX_ENTRIES }),
    agents: fastCheck.integer({ min: 1, max: MAX_AGENTS }),
    maxRunning: fastCheck.integer({ min: 1, max: 6 }),
    maxQueued: fastCheck.integer({ min: 1, max: 10 }),
    calls: fastCheck.array(buildCalls(options), { minLength: 1, maxLength: 30, size: 'max' }),
    faults: fastCheck.array(buildFaults(), { maxLength: 8, size: 'max' }),
  });
}
