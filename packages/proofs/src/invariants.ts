/**
 * What must always hold, checked on a virtual fleet after each event and at
 * the end. docs/PROMISES.md says which point of the brief each one stands for.
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

/** Time a leaving agent may go on starting what it had queued, milliseconds. */
export const LEAVING_BOUND_MS = 3000;

/** Adds one to a count and gets it. */
function addOne(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}

/**
 * Checks that a key which was told as not run is not run by a call from before.
 *
 * An earlier call may wait in a paused or cut-off entry. Its caller has been told
 * through another one that the key was not run, and will order anew.
 */
function checkClosedKey(checker: checkers.Checker, line: virtualEngine.JournalLine): void {
  const toldMs = checker.keyToldMs.get(line.payload.contentId);
  const arrivedMs = checker.arrivedMs.get(line.requestId);
  if (line.repeatable || toldMs === undefined || arrivedMs === undefined) {
    return;
  }
  const skewMs = 2 * (checker.fleet?.options.clockSkewMs ?? 0);
  const detail = () => `${line.payload.contentId} by ${line.requestId} from before it was told`;
  checkers.expectThat(
    checker,
    arrivedMs + skewMs >= toldMs,
    invariant.Invariant.NOT_RUN_IS_TRUE,
    detail,
  );
}

/** Notes when an entry took in a request that it offers. */
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

/** Checks a line of an engine's journal. */
function checkJournal(checker: checkers.Checker, line: virtualEngine.JournalLine): void {
  const agent = checker.fleet?.agents.get(line.engineId);
  const where = `${line.refKey} on ${line.engineId}`;
  if (line.event === 'cut') {
    const graceful = agent?.state.stopped ?? false;
    checkers.expectThat(checker, !graceful, invariant.Invariant.SHUTDOWN_CUTS_NOTHING, () => where);
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
  const told = checker.toldNotRun.has(line.requestId);
  checkers.expectThat(
    checker,
    !told,
    invariant.Invariant.NOT_RUN_IS_TRUE,
    () => `started later: ${where}`,
  );
  checkClosedKey(checker, line);
  const since = checker.leavingSinceMs.get(`${line.engineId} ${agent?.life}`);
  const late = since !== undefined && line.atMs - since > LEAVING_BOUND_MS;
  checkers.expectThat(checker, !late, invariant.Invariant.NO_START_AFTER_LEAVING, () => where);
}

/**
 * Counts the starts that a caller is told of. Where the route runs once, a call
 * speaks for its key, whichever call carried it; where it may be repeated, a
 * call speaks for itself.
 */
function countStarts(checker: checkers.Checker, requestId: string, contentId: string): number {
  const ofKey = checker.startsByContent.get(contentId) ?? 0;
  return Math.max(ofKey, checker.startsByRequest.get(requestId) ?? 0);
}

/** Checks what a caller has just been sent. */
function checkAnswer(
  checker: checkers.Checker,
  call: virtualCallers.Call,
  effect: virtualCallers.CallerEffect,
): void {
  const { payload } = call.plan;
  const who = `call ${call.callerId} (${payload.contentId})`;
  const isFinal = effect.kind === 'answerEnd' || effect.kind === 'answerFailure';
  const expectedFinals = isFinal ? 1 : 0;
  const one = call.outcomes.length === expectedFinals;
  checkers.expectThat(
    checker,
    one,
    invariant.Invariant.ONE_FINAL_ANSWER,
    () => `${who}: ${effect.kind}`,
  );
  const whole = callPayload.buildCompleteResponse(payload);
  const own =
    effect.kind === 'answerEnd'
      ? call.text === whole && call.headCount === 1
      : whole.startsWith(call.text) && call.headCount <= 1;
  checkers.expectThat(
    checker,
    own,
    invariant.Invariant.OWN_WHOLE_ANSWER,
    () => `${who}: got ${call.text}`,
  );
  if (effect.kind === 'answerFailure' && effect.runState === schema.RunState.NOT_RUN) {
    checker.toldNotRun.add(effect.requestId || who);
    if (!checker.keyToldMs.has(payload.contentId)) {
      checker.keyToldMs.set(payload.contentId, checker.fleet?.nowMs ?? 0);
    }
    const starts = countStarts(checker, effect.requestId, payload.contentId);
    const code = schema.ResultCode[effect.code];
    const detail = () => `${who} ${effect.requestId}: told ${code}, started ${starts} times`;
    checkers.expectThat(checker, starts === 0, invariant.Invariant.NOT_RUN_IS_TRUE, detail);
  }
}

/** Checks what the program says of itself. */
function checkObservation(
  checker: checkers.Checker,
  effect: core.EntryEffect | core.AgentEffect,
): void {
  if (effect.kind === 'observe' && effect.observation.kind === 'invariantBroken') {
    const { name } = effect.observation;
    checkers.expectThat(checker, false, invariant.Invariant.PROGRAM_INVARIANT, () => name);
  }
}

/** Checks that the version in force did not go down. */
function checkVersion(checker: checkers.Checker, process: virtualProcesses.VirtualProcess): void {
  const key = `${process.id} ${process.life}`;
  const service = checker.fleet?.options.service ?? '';
  const version = core.getVersion(process.state.documents, service);
  const before = checker.versions.get(key) ?? 0;
  const detail = () => `${key}: ${before} to ${version}`;
  checkers.expectThat(checker, version >= before, invariant.Invariant.VERSION_NEVER_DOWN, detail);
  checker.versions.set(key, version);
}

/** Checks an entry after one event. */
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

/** Checks an agent after one event. */
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
  // A later document may take the server back into service.
  if (!agent.state.leaving) {
    checker.leavingSinceMs.delete(key);
  }
  effects.forEach((effect) => {
    checkObservation(checker, effect);
    shedChecks.checkAgentShed(checker, agent, effect);
  });
}

/** Checks one occurrence. */
export function checkOccurrence(
  checker: checkers.Checker,
  occurrence: fleetState.Occurrence,
): void {
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
export function checkEnd(checker: checkers.Checker): void {
  checker.fleet?.calls
    .filter((call) => !call.hasDisconnected)
    .forEach((call) => {
      const count = call.outcomes.length;
      const detail = () => `call ${call.callerId} through ${call.entryId}: ${count} final answers`;
      checkers.expectThat(checker, count === 1, invariant.Invariant.ONE_FINAL_ANSWER, detail);
    });
}
