/**
 * What must always hold, checked on a virtual fleet after each event and at
 * the end. docs/PROMISES.md says which point of the brief each one stands for.
 */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callPayload from './mocks/call-payload.js';
import * as fleetState from './mocks/fleet-state.js';
import * as virtualCallers from './mocks/virtual-callers.js';
import * as virtualEngine from './mocks/virtual-engine.js';
import * as virtualProcesses from './mocks/virtual-processes.js';

export enum Invariant {
  /** An attempt is started at most once, over all engines. */
  ATTEMPT_STARTED_ONCE = 'attempt-started-once',
  /** A request that may not be repeated is dispatched at most once, over all attempts. */
  DISPATCHED_ONCE = 'dispatched-once',
  /** What was told as not run has not been started and never will be. */
  NOT_RUN_IS_TRUE = 'not-run-is-true',
  /** A call gets one final answer and nothing after it. */
  ONE_FINAL_ANSWER = 'one-final-answer',
  /** An answer is the engine's output for the caller's own content, whole. */
  OWN_WHOLE_ANSWER = 'own-whole-answer',
  /** A leaving backend server starts nothing new after the bound. */
  NO_START_AFTER_LEAVING = 'no-start-after-leaving',
  /** An entry offers nothing to a backend server that it knows as leaving. */
  NO_OFFER_TO_LEAVING = 'no-offer-to-leaving',
  /** The version in force in one life of a process never goes down. */
  VERSION_NEVER_DOWN = 'version-never-down',
  /** The newest document is in force everywhere once faults are over. */
  VERSION_SPREADS = 'version-spreads',
  /** No process sheds a request while it holds unstarted less urgent work. */
  SHED_LEAST_URGENT = 'shed-least-urgent',
  /** A graceful shutdown ends nothing that is in progress. */
  SHUTDOWN_CUTS_NOTHING = 'shutdown-cuts-nothing',
  /** The program found one of its own invariants broken. */
  PROGRAM_INVARIANT = 'program-invariant',
}

export type Violation = { invariant: Invariant; atMs: number; detail: string };

/** Time a leaving agent may go on starting what it had queued, milliseconds. */
export const LEAVING_BOUND_MS = 3000;

export type Checker = {
  fleet: fleetState.VirtualFleet | undefined;
  violations: Violation[];
  startsByRef: Map<string, number>;
  startsByContent: Map<string, number>;
  toldNotRun: Set<string>;
  leavingSinceMs: Map<string, number>;
  versions: Map<string, number>;
};

const SHED_CODES = new Set([
  schema.ResultCode.SHED,
  schema.ResultCode.QUEUE_FULL,
  schema.ResultCode.EVICTED,
  schema.ResultCode.RETRY_BUDGET_SPENT,
]);

/** Creates a checker; its fleet is set once there is one. */
export function createChecker(): Checker {
  return {
    fleet: undefined,
    violations: [],
    startsByRef: new Map(),
    startsByContent: new Map(),
    toldNotRun: new Set(),
    leavingSinceMs: new Map(),
    versions: new Map(),
  };
}

/** Notes a violation unless the condition holds. */
function expectThat(
  checker: Checker,
  holds: boolean,
  invariant: Invariant,
  describe: () => string,
): void {
  if (!holds) {
    checker.violations.push({
      invariant,
      atMs: checker.fleet?.nowMs ?? 0,
      detail: describe(),
    });
  }
}

/** Adds one to a count and gets it. */
function addOne(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}

/** Checks a line of an engine's journal. */
function checkJournal(checker: Checker, line: virtualEngine.JournalLine): void {
  const agent = checker.fleet?.agents.get(line.engineId);
  const where = `${line.refKey} on ${line.engineId}`;
  if (line.event === 'cut') {
    const graceful = agent?.state.stopped ?? false;
    expectThat(checker, !graceful, Invariant.SHUTDOWN_CUTS_NOTHING, () => where);
  }
  if (line.event !== 'start') {
    return;
  }
  const byRef = addOne(checker.startsByRef, line.refKey);
  expectThat(checker, byRef === 1, Invariant.ATTEMPT_STARTED_ONCE, () => where);
  const byContent = addOne(checker.startsByContent, line.payload.contentId);
  const once = line.repeatable || byContent === 1;
  expectThat(checker, once, Invariant.DISPATCHED_ONCE, () => `${line.payload.contentId} ${where}`);
  const told = checker.toldNotRun.has(line.requestId);
  expectThat(checker, !told, Invariant.NOT_RUN_IS_TRUE, () => `started later: ${where}`);
  const since = checker.leavingSinceMs.get(`${line.engineId} ${agent?.life}`);
  const late = since !== undefined && line.atMs - since > LEAVING_BOUND_MS;
  expectThat(checker, !late, Invariant.NO_START_AFTER_LEAVING, () => where);
}

/** Checks what a caller has just been sent. */
function checkAnswer(
  checker: Checker,
  call: virtualCallers.Call,
  effect: virtualCallers.CallerEffect,
): void {
  const { payload } = call.plan;
  const who = `call ${call.callerId} (${payload.contentId})`;
  const isFinal = effect.kind === 'answerEnd' || effect.kind === 'answerFailure';
  const expectedFinals = isFinal ? 1 : 0;
  const one = call.finals.length === expectedFinals;
  expectThat(checker, one, Invariant.ONE_FINAL_ANSWER, () => `${who}: ${effect.kind}`);
  const whole = callPayload.buildWholeAnswer(payload);
  const own =
    effect.kind === 'answerEnd'
      ? call.text === whole && call.heads === 1
      : whole.startsWith(call.text) && call.heads <= 1;
  expectThat(checker, own, Invariant.OWN_WHOLE_ANSWER, () => `${who}: got ${call.text}`);
  if (effect.kind === 'answerFailure' && effect.runState === schema.RunState.NOT_RUN) {
    checker.toldNotRun.add(effect.requestId || who);
    const starts = checker.startsByContent.get(payload.contentId) ?? 0;
    const code = schema.ResultCode[effect.code];
    const detail = () => `${who} ${effect.requestId}: told ${code}, started ${starts} times`;
    expectThat(checker, starts === 0, Invariant.NOT_RUN_IS_TRUE, detail);
  }
}

/** Gets the tier rank of a call by the document in force at its entry. */
function getTierRank(entry: virtualProcesses.EntryProcess, call: virtualCallers.Call): number {
  const document = entry.state.documents.get(call.plan.service)?.document;
  const token = virtualCallers.buildArrived(call).tokenSha256;
  const credential = document?.credentials.find((one) => one.tokenSha256 === token);
  return document?.tiers.indexOf(credential?.tier ?? '') ?? -1;
}

/** Checks that an entry which sheds a call holds no unplaced less urgent one. */
function checkEntryShed(
  checker: Checker,
  entry: virtualProcesses.EntryProcess,
  effect: core.EntryEffect,
): void {
  const failed = effect.kind === 'answerFailure' && SHED_CODES.has(effect.code);
  const call = failed ? checker.fleet?.calls[effect.callerId - 1] : undefined;
  if (call === undefined) {
    return;
  }
  const rank = getTierRank(entry, call);
  const lower = [...entry.state.requests.values()].filter(
    (one) => one.status === core.RequestStatus.WAITING && one.tierRank > rank,
  );
  expectThat(checker, lower.length === 0, Invariant.SHED_LEAST_URGENT, () => {
    const kept = lower.map((one) => one.requestId).join(', ');
    return `${entry.id} shed call ${call.callerId} of rank ${rank} and kept ${kept}`;
  });
}

/** Checks that an agent which sheds an attempt queues no less urgent one. */
function checkAgentShed(
  checker: Checker,
  agent: virtualProcesses.AgentProcess,
  effect: core.AgentEffect,
): void {
  if (effect.kind !== 'sendToEntry' || effect.message.body.case !== 'notRun') {
    return;
  }
  const { ref, code } = effect.message.body.value;
  const record = ref && agent.state.runs.get(core.toRefKey(ref));
  const rank = record?.offer?.tierRank;
  if (rank === undefined || !SHED_CODES.has(code)) {
    return;
  }
  const lower = [...agent.state.runs.values()].filter(
    (one) => one.status === core.RunStatus.QUEUED && (one.offer?.tierRank ?? 0) > rank,
  );
  expectThat(checker, lower.length === 0, Invariant.SHED_LEAST_URGENT, () => {
    const kept = lower.map((one) => one.refKey).join(', ');
    return `${agent.id} shed ${record?.refKey} of rank ${rank} and kept ${kept}`;
  });
}

/** Checks what the program says of itself. */
function checkObservation(checker: Checker, effect: core.EntryEffect | core.AgentEffect): void {
  if (effect.kind === 'observe' && effect.observation.kind === 'invariantBroken') {
    const { name } = effect.observation;
    expectThat(checker, false, Invariant.PROGRAM_INVARIANT, () => name);
  }
}

/** Checks that the version in force did not go down. */
function checkVersion(checker: Checker, process: virtualProcesses.VirtualProcess): void {
  const key = `${process.id} ${process.life}`;
  const service = checker.fleet?.options.service ?? '';
  const version = core.getVersion(process.state.documents, service);
  const before = checker.versions.get(key) ?? 0;
  const detail = () => `${key}: ${before} to ${version}`;
  expectThat(checker, version >= before, Invariant.VERSION_NEVER_DOWN, detail);
  checker.versions.set(key, version);
}

/** Checks an entry after one event. */
function checkEntry(
  checker: Checker,
  entry: virtualProcesses.EntryProcess,
  effects: core.EntryEffect[],
): void {
  checkVersion(checker, entry);
  effects.forEach((effect) => {
    checkObservation(checker, effect);
    checkEntryShed(checker, entry, effect);
    if (effect.kind === 'sendToAgent' && effect.message.body.case === 'offer') {
      const id = effect.backendServerId;
      const leaving = entry.state.agents.get(id)?.leaving ?? false;
      expectThat(checker, !leaving, Invariant.NO_OFFER_TO_LEAVING, () => `${entry.id} to ${id}`);
    }
    if (effect.kind === 'stopped') {
      const held = entry.state.requests.size;
      const detail = () => `${entry.id} stopped with ${held} requests`;
      expectThat(checker, held === 0, Invariant.SHUTDOWN_CUTS_NOTHING, detail);
    }
  });
}

/** Checks an agent after one event. */
function checkAgent(
  checker: Checker,
  agent: virtualProcesses.AgentProcess,
  effects: core.AgentEffect[],
): void {
  checkVersion(checker, agent);
  const key = `${agent.id} ${agent.life}`;
  if (!agent.state.leaving) {
    checker.leavingSinceMs.delete(key);
  } else if (!checker.leavingSinceMs.has(key)) {
    checker.leavingSinceMs.set(key, checker.fleet?.nowMs ?? 0);
  }
  // A later document may take the server back into service.
  if (!agent.state.leaving) {
    checker.leavingSinceMs.delete(key);
  }
  effects.forEach((effect) => {
    checkObservation(checker, effect);
    checkAgentShed(checker, agent, effect);
  });
}

/** Checks one occurrence. */
export function checkOccurrence(checker: Checker, occurrence: fleetState.Occurrence): void {
  switch (occurrence.kind) {
    case 'journal':
      checkJournal(checker, occurrence.line);
      return;
    case 'answer':
      checkAnswer(checker, occurrence.call, occurrence.effect);
      return;
    case 'entryApplied':
      checkEntry(checker, occurrence.entry, occurrence.effects);
      return;
    default:
      checkAgent(checker, occurrence.agent, occurrence.effects);
  }
}

/** Checks, once all has ended, that each caller that stayed got its answer. */
export function checkEnd(checker: Checker): void {
  checker.fleet?.calls
    .filter((call) => !call.left)
    .forEach((call) => {
      const count = call.finals.length;
      const detail = () => `call ${call.callerId} through ${call.entryId}: ${count} final answers`;
      expectThat(checker, count === 1, Invariant.ONE_FINAL_ANSWER, detail);
    });
}
