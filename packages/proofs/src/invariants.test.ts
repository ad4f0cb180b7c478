import * as nodeTest from 'node:test';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as invariants from './invariants.js';
import * as brokenVariant from './random-runs/broken-variant.js';
import * as scenarios from './random-runs/scenario.js';

// Each test disables one safeguard and asserts that the matching invariant check
// then fails, on a scenario that the unmodified program passes. This shows that
// the check can fail.

const DOUBLED: scenarios.FaultSpec = { atMs: 0, kind: 'messagesDoubled', percent: 100, ms: 8000 };

nodeTest.test('agent that forgets its runs', () => {
  const handleAgentEvent: typeof core.handleAgentEvent = (state, event, now) => {
    if (event.kind === 'entryMessage' && event.message.body.case === 'offer') {
      const { ref } = event.message.body.value;
      state.runs.delete(ref === undefined ? '' : core.toRefKey(ref));
    }
    return core.handleAgentEvent(state, event, now);
  };
  const scenario = { ...brokenVariant.SCENARIO, faults: [DOUBLED] };
  brokenVariant.expectCaught(
    scenario,
    { handleAgentEvent },
    invariants.Invariant.ATTEMPT_STARTED_ONCE,
  );
});

nodeTest.test('agent that accepts offers for an earlier incarnation', () => {
  const handleAgentEvent: typeof core.handleAgentEvent = (state, event, now) => {
    if (event.kind === 'entryMessage' && event.message.body.case === 'offer') {
      event.message.body.value.agentLife = state.life;
    }
    return core.handleAgentEvent(state, event, now);
  };
  const stopped: scenarios.FaultSpec = {
    atMs: 150,
    kind: 'agentStopped',
    agent: 0,
    told: true,
    downMs: 100,
  };
  const scenario = { ...brokenVariant.SCENARIO, faults: [DOUBLED, stopped] };
  brokenVariant.expectCaught(
    scenario,
    { handleAgentEvent },
    invariants.Invariant.ATTEMPT_STARTED_ONCE,
  );
});

nodeTest.test('entry that reports not run after a lost link', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) => {
    const effects = core.handleEntryEvent(state, event, now);
    if (event.kind !== 'linkClosed') {
      return effects;
    }
    const { backendServerId } = event;
    const forged = [...state.requests.values()].flatMap((request) => {
      const ref = request.target?.ref;
      const code = schema.ResultCode.EVICTED;
      const value = schema.create(schema.NotRunSchema, { ref, code });
      const body = { case: 'notRun', value } as const;
      const message = schema.create(schema.AgentMessageSchema, { body });
      const notRun = { kind: 'agentMessage', backendServerId, message } as const;
      return core.handleEntryEvent(state, notRun, now);
    });
    return [...effects, ...forged];
  };
  const closed: scenarios.FaultSpec = { atMs: 300, kind: 'linkClosed', entry: 0, agent: 0 };
  const scenario = { ...brokenVariant.SCENARIO, agents: 2, faults: [closed] };
  brokenVariant.expectCaught(scenario, { handleEntryEvent }, invariants.Invariant.DISPATCHED_ONCE);
});

nodeTest.test('entry that reports not run after a timeout', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) =>
    core
      .handleEntryEvent(state, event, now)
      .map((effect) =>
        effect.kind === 'answerFailure' ? { ...effect, runState: schema.RunState.NOT_RUN } : effect,
      );
  const scenario = {
    ...brokenVariant.SCENARIO,
    calls: [{ ...brokenVariant.CALL, timeoutMs: 400 }],
  };
  brokenVariant.expectCaught(scenario, { handleEntryEvent }, invariants.Invariant.NOT_RUN_IS_TRUE);
});

nodeTest.test('entry that responds twice', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) =>
    core
      .handleEntryEvent(state, event, now)
      .flatMap((effect): core.EntryEffect[] =>
        effect.kind === 'answerEnd' ? [effect, effect] : [effect],
      );
  brokenVariant.expectCaught(
    brokenVariant.SCENARIO,
    { handleEntryEvent },
    invariants.Invariant.ONE_FINAL_ANSWER,
  );
});

nodeTest.test('entry that never responds', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) =>
    core
      .handleEntryEvent(state, event, now)
      .filter((effect) => effect.kind !== 'answerEnd' && effect.kind !== 'answerFailure');
  brokenVariant.expectCaught(
    brokenVariant.SCENARIO,
    { handleEntryEvent },
    invariants.Invariant.ONE_FINAL_ANSWER,
  );
});

nodeTest.test('entry that accepts response parts of any attempt', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) => {
    if (event.kind === 'agentMessage' && event.message.body.case === 'part') {
      const part = event.message.body.value;
      const target = state.requests.get(part.ref?.requestId ?? '')?.target;
      if (target !== undefined) {
        part.ref = target.ref;
        part.sequence = target.nextSequence;
      }
    }
    return core.handleEntryEvent(state, event, now);
  };
  const scenario = { ...brokenVariant.SCENARIO, faults: [DOUBLED] };
  brokenVariant.expectCaught(scenario, { handleEntryEvent }, invariants.Invariant.OWN_WHOLE_ANSWER);
});

nodeTest.test('entry that offers to a leaving backend server', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) => {
    const leaving = [...state.agents.values()].filter((view) => view.leaving);
    leaving.forEach((view) => {
      view.leaving = false;
      view.kept = true;
    });
    const effects = core.handleEntryEvent(state, event, now);
    leaving.forEach((view) => {
      view.leaving = true;
    });
    return effects;
  };
  const published: scenarios.FaultSpec = { atMs: 0, kind: 'documentPublished', leaving: [0] };
  const calls = [{ ...brokenVariant.CALL, atMs: 2000, timeoutMs: 2000 }];
  const scenario = { ...brokenVariant.SCENARIO, calls, faults: [published] };
  const broken = { handleEntryEvent, buildPolicy: brokenVariant.buildPushPolicy };
  brokenVariant.expectCaught(scenario, broken, invariants.Invariant.NO_OFFER_TO_LEAVING);
});

nodeTest.test('agent that keeps starting requests while it leaves', () => {
  const handleAgentEvent: typeof core.handleAgentEvent = (state, event, now) => {
    const { leaving } = state;
    const isNewWork =
      event.kind === 'entryMessage' &&
      (event.message.body.case === 'offer' || event.message.body.case === 'reserve');
    state.leaving = leaving && !isNewWork;
    const effects = core.handleAgentEvent(state, event, now);
    state.leaving = leaving || state.leaving;
    return effects;
  };
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) => {
    const effects = core.handleEntryEvent(state, event, now);
    state.agents.forEach((view) => {
      view.leaving = false;
      view.kept = true;
    });
    return effects;
  };
  const published: scenarios.FaultSpec = { atMs: 0, kind: 'documentPublished', leaving: [0] };
  const calls = [{ ...brokenVariant.CALL, atMs: 7500, timeoutMs: 2000 }];
  const scenario = { ...brokenVariant.SCENARIO, calls, faults: [published] };
  const broken = { handleAgentEvent, handleEntryEvent };
  brokenVariant.expectCaught(scenario, broken, invariants.Invariant.NO_START_AFTER_LEAVING);
});

nodeTest.test('entry that accepts an older document', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) => {
    if (event.kind === 'documentRead') {
      state.documents.clear();
    }
    return core.handleEntryEvent(state, event, now);
  };
  const published: scenarios.FaultSpec = { atMs: 0, kind: 'documentPublished', leaving: [] };
  const stale: scenarios.FaultSpec = { atMs: 2000, kind: 'documentStale', ms: 2000 };
  const scenario = { ...brokenVariant.SCENARIO, faults: [published, stale] };
  brokenVariant.expectCaught(
    scenario,
    { handleEntryEvent },
    invariants.Invariant.VERSION_NEVER_DOWN,
  );
});

nodeTest.test('agent that keeps its first document', () => {
  const handleAgentEvent: typeof core.handleAgentEvent = (state, event, now) =>
    event.kind === 'documentRead' && state.documents.size > 0
      ? []
      : core.handleAgentEvent(state, event, now);
  const published: scenarios.FaultSpec = { atMs: 0, kind: 'documentPublished', leaving: [] };
  const scenario = { ...brokenVariant.SCENARIO, faults: [published] };
  brokenVariant.expectCaught(scenario, { handleAgentEvent }, invariants.Invariant.VERSION_SPREADS);
});

nodeTest.test('entry that sheds the newest request', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) => {
    const waits = [...state.requests.values()].some(
      (one) => one.status === core.RequestStatus.WAITING,
    );
    if (event.kind !== 'requestArrived' || !waits) {
      return core.handleEntryEvent(state, event, now);
    }
    const { callerId } = event.request;
    const code = schema.ResultCode.SHED;
    const runState = schema.RunState.NOT_RUN;
    const failure = { code, runState, retryAfterMs: 1000, requestId: '' };
    return [{ kind: 'answerFailure', callerId, ...failure }];
  };
  const stopped: scenarios.FaultSpec = {
    atMs: 0,
    kind: 'agentStopped',
    agent: 0,
    told: true,
    downMs: 2000,
  };
  const calls = [brokenVariant.CALL, { ...brokenVariant.CALL, urgent: true, atMs: 500 }];
  const scenario = { ...brokenVariant.SCENARIO, calls, faults: [stopped] };
  brokenVariant.expectCaught(
    scenario,
    { handleEntryEvent },
    invariants.Invariant.SHED_LEAST_URGENT,
  );
});

nodeTest.test('agent that sheds the newest attempt', () => {
  const handleAgentEvent: typeof core.handleAgentEvent = (state, event, now) =>
    core.handleAgentEvent(state, event, now).map((effect) => {
      if (effect.kind !== 'sendToEntry' || effect.message.body.case !== 'accepted') {
        return effect;
      }
      const { ref } = effect.message.body.value;
      const rank = ref && state.runs.get(core.toRefKey(ref))?.offer?.tierRank;
      if (rank !== 0) {
        return effect;
      }
      const code = schema.ResultCode.QUEUE_FULL;
      const value = schema.create(schema.NotRunSchema, { ref, code });
      const body = { case: 'notRun', value } as const;
      return { ...effect, message: schema.create(schema.AgentMessageSchema, { body }) };
    });
  const calls = [
    brokenVariant.CALL,
    brokenVariant.CALL,
    brokenVariant.CALL,
    brokenVariant.CALL,
    { ...brokenVariant.CALL, urgent: true, atMs: 150 },
  ];
  const scenario = { ...brokenVariant.SCENARIO, calls };
  const broken = { handleAgentEvent, buildPolicy: brokenVariant.buildPushPolicy };
  brokenVariant.expectCaught(scenario, broken, invariants.Invariant.SHED_LEAST_URGENT);
});

nodeTest.test('agent that stops without waiting for its runs', () => {
  const handleAgentEvent: typeof core.handleAgentEvent = (state, event, now) => {
    const effects = core.handleAgentEvent(state, event, now);
    if (event.kind !== 'shutdownStarted' || state.stopped) {
      return effects;
    }
    state.stopped = true;
    return [...effects, { kind: 'stopped' }];
  };
  const shut: scenarios.FaultSpec = { atMs: 300, kind: 'agentShutDown', agent: 0, downMs: 1000 };
  const scenario = { ...brokenVariant.SCENARIO, faults: [shut] };
  brokenVariant.expectCaught(
    scenario,
    { handleAgentEvent },
    invariants.Invariant.SHUTDOWN_CUTS_NOTHING,
  );
});

nodeTest.test('entry that resumes for another workspace', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) => {
    const effects = core.handleEntryEvent(state, event, now);
    effects.forEach((effect) => {
      if (effect.kind === 'sendToAgent' && effect.message.body.case === 'resume') {
        effect.message.body.value.workspace = 'another';
      }
    });
    return effects;
  };
  const closed: scenarios.FaultSpec = { atMs: 300, kind: 'linkClosed', entry: 0, agent: 0 };
  const scenario = { ...brokenVariant.SCENARIO, faults: [closed] };
  brokenVariant.expectCaught(
    scenario,
    { handleEntryEvent },
    invariants.Invariant.PROGRAM_INVARIANT,
  );
});
