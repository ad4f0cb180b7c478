/** Cost of one placement decision against the number of candidates and workspaces. */
import * as crypto from 'node:crypto';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as stateSlopes from './state-slopes.js';

export type DecisionSlope = { candidates: number; workspaces: number; ratio: number; us: number };

const ROUNDS = 1500;
const NOW_MS = 1_700_000_000_000;
const US_PER_MS = 1000;

/** Measures one round of some work, microseconds. */
function measureRound(work: (round: number) => void): number {
  Array.from({ length: ROUNDS }, (_, index) => work(index + 1));
  const began = process.hrtime.bigint();
  Array.from({ length: ROUNDS }, (_, index) => work(ROUNDS + index + 1));
  return Number(process.hrtime.bigint() - began) / US_PER_MS / ROUNDS;
}

/** Says hello and a load on behalf of every agent. */
function openLinks(state: core.EntryState, count: number): void {
  Array.from({ length: count }, (_, index) => {
    const backendServerId = `b${index}`;
    const hello = schema.create(schema.AgentHelloSchema, { backendServerId, agentLife: 'l1' });
    const heartbeat = schema.create(schema.AgentHeartbeatSchema, {
      document: { service: 'measured', version: 1 },
      load: { tokensPerSecond: 1000 },
    });
    const bodies = [
      { case: 'heartbeat', value: heartbeat } as const,
      { case: 'hello', value: hello } as const,
    ];
    bodies.forEach((body) =>
      core.handleEntryEvent(
        state,
        {
          kind: 'agentMessage',
          backendServerId,
          message: schema.create(schema.AgentMessageSchema, { body }),
        },
        NOW_MS,
      ),
    );
    return backendServerId;
  });
}

/** Measures arrival, placement and the caller's leaving, microseconds. */
function measureDecision(candidates: number, workspaces: number): number {
  const state = stateSlopes.createEntry(stateSlopes.buildDocument(workspaces, candidates));
  openLinks(state, candidates);
  return measureRound((round) => {
    const request = stateSlopes.buildArrived(round, round % workspaces);
    core.handleEntryEvent(state, { kind: 'requestArrived', request }, NOW_MS);
    core.handleEntryEvent(state, { kind: 'callerLeft', callerId: round }, NOW_MS);
  });
}

/** Measures the hash of a kilobyte, the unit that ratios are given in, microseconds. */
export function measureUnit(): number {
  const block = Buffer.alloc(1024);
  return measureRound(() => {
    crypto.createHash('sha256').update(block).digest();
  });
}

/** Measures decisions over the ranges of the target size. */
export function measureDecisions(unitUs: number): DecisionSlope[] {
  const cases = [
    [10, 100],
    [40, 100],
    [150, 100],
    [600, 100],
    [40, 1500],
    [40, 15_000],
  ];
  return cases.map(([candidates, workspaces]) => {
    const us = measureDecision(candidates, workspaces);
    return { candidates, workspaces, us, ratio: us / unitUs };
  });
}
