/**
 * The invariant checks on a virtual fleet, run after each event and at the end.
 * docs/PROMISES.md maps each invariant to the requirement that it covers.
 */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as checkers from './checker.js';
import * as invariant from './invariant.js';
import * as shedChecks from './shed-checks.js';
import * as callPayload from './mocks/call-payload.js';
import * as fleetState from './mocks/fleet-state.js';
import * as virtualCallers from './mocks/virtual-callers.js';
import * as virtualEngine from './mocks/virtual-engine.js';
import * as virtualProcesses from './mocks/virtual-processes.js';

export { createChecker, type Checker } from './checker.js';
export { Invariant, type Violation } from './invariant.js';

/** Time during which a leaving agent may still start requests it had queued, milliseconds. */
export const MAX_START_AFTER_LEAVING_MS = 3000;

/** Increments a count and returns it. */
function addOne(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}

/**
 * Checks that a key which was reported as not run is not run by an earlier call.
 *
 * An earlier call may still wait in an entry that is paused or partitioned. Its caller
 * has been told through another entry that the key was not run, and will send a new request.
 */
function checkKeyReportedNotRun(checker: checkers.Checker, line: virtualEngine.JournalLine): void {
  const reportedMs = checker.keyReportedNotRunMs.get(line.payload.contentId);
  const arrivedMs = checker.arrivedMs.get(line.requestId);
  if (line.repeatable || reportedMs === undefined || arrivedMs === undefined) {
    return;
  }
  const skewMs = 2 * (checker.fleet?.options.clockSkewMs ?? 0);
  const detail = () =>
    `${line.payload.contentId} by ${line.requestId} arrived before its key was reported as not run`;
  checkers.expectThat(
    checker,
    arrivedMs + skewMs >= reportedMs,
    invariant.Invariant.NOT_RUN_IS_TRUE,
    detail,
  );
}

/** Records when a request that an entry offers arrived at the entry. */
function recordArrival(
  checker: checkers.Checker,
  entry: virtualProcesses.EntryProcess,
  requestId: string,
): void {
  const request = entry.state.requests.get(requestId);
  if (request !== undefined) {
    checker.arrivedMs.set(requestId, request.arrivedMs);
  }
}

/** Checks one line of an engine's journal. */
function checkJournalLine(checker: checkers.Checker, line: virtualEngine.JournalLine): void {
  const agent = checker.fleet?.agents.get(line.engineId);
  const where = `${line.refKey} on ${line.engineId}`;
  if (line.event === 'cut') {
    const isGraceful = agent?.state.stopped ?? false;
    checkers.expectThat(
      checker,
      !isGraceful,
      invariant.Invariant.SHUTDOWN_CUTS_NOTHING,
      () => where,
    );
  }
  if (line.event !== 'start') {
    return;
  }
  const byRef = addOne(checker.startsByRef, line.refKey);
  checkers.expectThat(checker, byRef === 1, invariant.Invariant.ATTEMPT_STARTED_ONCE, () => where);
  addOne(checker.startsByRequest, line.requestId);
  if (!line.repeatable) {
    const { contentId } = line.payload;
    const byContent = addOne(checker.startsByContent, contentId);
    const detail = () => `${contentId} ${where}`;
    checkers.expectThat(checker, byContent === 1, invariant.Invariant.DISPATCHED_ONCE, detail);
  }
  const wasReportedNotRun = checker.reportedNotRun.has(line.requestId);
  checkers.expectThat(
    checker,
    !wasReportedNotRun,
    invariant.Invariant.NOT_RUN_IS_TRUE,
    () => `started later: ${where}`,
  );
  checkKeyReportedNotRun(checker, line);
  const since = checker.leavingSinceMs.get(`${line.engineId} ${agent?.life}`);
  const isLate = since !== undefined && line.atMs - since > MAX_START_AFTER_LEAVING_MS;
  checkers.expectThat(checker, !isLate, invariant.Invariant.NO_START_AFTER_LEAVING, () => where);
}

/**
 * Counts the starts that a run state reported to a caller has to cover. If the route runs
 * a request only once, these are all starts with the same key, by any call; if it may be
 * repeated, only the starts of the call itself.
 */
function countStarts(checker: checkers.Checker, requestId: string, contentId: string): number {
  const ofKey = checker.startsByContent.get(contentId) ?? 0;
  return Math.max(ofKey, checker.startsByRequest.get(requestId) ?? 0);
}

/** Checks the part of a response that a caller has just received. */
function checkResponse(
  checker: checkers.Checker,
  call: virtualCallers.Call,
  effect: virtualCallers.CallerEffect,
): void {
  const { payload } = call.plan;
  const who = `call ${call.callerId} (${payload.contentId})`;
  const isFinal = effect.kind === 'answerEnd' || effect.kind === 'answerFailure';
  const expectedOutcomes = isFinal ? 1 : 0;
  const isOutcomeCountRight = call.outcomes.length === expectedOutcomes;
  checkers.expectThat(
    checker,
    isOutcomeCountRight,
    invariant.Invariant.ONE_FINAL_ANSWER,
    () => `${who}: ${effect.kind}`,
  );
  const complete = callPayload.buildCompleteResponse(payload);
  const matchesPayload =
    effect.kind === 'answerEnd'
      ? call.text === complete && call.headCount === 1
      : complete.startsWith(call.text) && call.headCount <= 1;
  checkers.expectThat(
    checker,
    matchesPayload,
    invariant.Invariant.OWN_WHOLE_ANSWER,
    () => `${who}: got ${call.text}`,
  );
  if (effect.kind === 'answerFailure' && effect.runState === schema.RunState.NOT_RUN) {
    checker.reportedNotRun.add(effect.requestId || who);
    if (!checker.keyReportedNotRunMs.has(payload.contentId)) {
      checker.keyReportedNotRunMs.set(payload.contentId, checker.fleet?.nowMs ?? 0);
    }
    const starts = countStarts(checker, effect.requestId, payload.contentId);
    const code = schema.ResultCode[effect.code];
    const detail = () =>
      `${who} ${effect.requestId}: reported as not run with ${code}, started ${starts} times`;
    checkers.expectThat(checker, starts === 0, invariant.Invariant.NOT_RUN_IS_TRUE, detail);
  }
}

/** Checks that a process has not reported a violated internal invariant. */
function checkObservation(
  checker: checkers.Checker,
  effect: core.EntryEffect | core.AgentEffect,
): void {
  if (effect.kind === 'observe' && effect.observation.kind === 'invariantBroken') {
    const { name } = effect.observation;
    checkers.expectThat(checker, false, invariant.Invariant.PROGRAM_INVARIANT, () => name);
  }
}

/** Checks that the active document version has not decreased. */
function checkVersion(checker: checkers.Checker, process: virtualProcesses.VirtualProcess): void {
  const key = `${process.id} ${process.life}`;
  const service = checker.fleet?.options.service ?? '';
  const version = core.getVersion(process.state.documents, service);
  const before = checker.versionsByIncarnation.get(key) ?? 0;
  const detail = () => `${key}: ${before} to ${version}`;
  checkers.expectThat(checker, version >= before, invariant.Invariant.VERSION_NEVER_DOWN, detail);
  checker.versionsByIncarnation.set(key, version);
}

/** Checks an entry after it has handled one event. */
function checkEntry(
  checker: checkers.Checker,
  entry: virtualProcesses.EntryProcess,
  effects: core.EntryEffect[],
): void {
  checkVersion(checker, entry);
  effects.forEach((effect) => {
    checkObservation(checker, effect);
    shedChecks.checkEntryShed(checker, entry, effect);
    if (effect.kind === 'sendToAgent' && effect.message.body.case === 'offer') {
      recordArrival(checker, entry, effect.message.body.value.ref?.requestId ?? '');
      const id = effect.backendServerId;
      const leaving = entry.state.agents.get(id)?.leaving ?? false;
      checkers.expectThat(
        checker,
        !leaving,
        invariant.Invariant.NO_OFFER_TO_LEAVING,
        () => `${entry.id} to ${id}`,
      );
    }
    if (effect.kind === 'stopped') {
      const held = entry.state.requests.size;
      const detail = () => `${entry.id} stopped with ${held} requests`;
      checkers.expectThat(checker, held === 0, invariant.Invariant.SHUTDOWN_CUTS_NOTHING, detail);
    }
  });
}

/** Checks an agent after it has handled one event. */
function checkAgent(
  checker: checkers.Checker,
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
  // A later document may return the server to service.
  if (!agent.state.leaving) {
    checker.leavingSinceMs.delete(key);
  }
  effects.forEach((effect) => {
    checkObservation(checker, effect);
    shedChecks.checkAgentShed(checker, agent, effect);
  });
}

/** Checks what has just happened in a fleet. */
export function checkOccurrence(
  checker: checkers.Checker,
  occurrence: fleetState.Occurrence,
): void {
  switch (occurrence.kind) {
    case 'journal':
      checkJournalLine(checker, occurrence.line);
      return;
    case 'answer':
      checkResponse(checker, occurrence.call, occurrence.effect);
      return;
    case 'entryApplied':
      checkEntry(checker, occurrence.entry, occurrence.effects);
      return;
    default:
      checkAgent(checker, occurrence.agent, occurrence.effects);
  }
}

/** Checks, after a run, that each caller that did not disconnect got one final outcome. */
export function checkEnd(checker: checkers.Checker): void {
  checker.fleet?.calls
    .filter((call) => !call.hasDisconnected)
    .forEach((call) => {
      const count = call.outcomes.length;
      const detail = () => `call ${call.callerId} through ${call.entryId}: ${count} final outcomes`;
      checkers.expectThat(checker, count === 1, invariant.Invariant.ONE_FINAL_ANSWER, detail);
    });
}
