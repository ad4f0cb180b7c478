/**
 * Contains exceptions that no code expects: each ends the unit of work in which it was thrown.
 *
 * Otherwise such an exception ends the process and with it all requests in progress. A unit can be
 * given up without harm to the others: a request is answered with an error, a pass over the state is
 * left to the next one. Nothing is guarded whose failure could leave a wrong answer behind.
 */
import * as schema from '@toucanproxy/schema';
import type * as decisionLog from './decision-log.js';
import type * as gatewayMetrics from './gateway-metrics.js';

/** What is given up when an exception is thrown. */
export enum WorkUnit {
  REQUEST = 'request',
  /** A pass that assigns requests, or the decisions of a scheduler's reply. */
  ASSIGNMENT = 'assignment',
  /** A round of reports to other gateways. */
  REPORT = 'report',
  /** What the HTTP library does in an event of a connection to a backend server. */
  CONNECTION = 'connection',
  /** An event of the connection of a caller, beside the requests that are admitted. */
  CALLER = 'caller',
}

/** Runs a step; if it throws, reports that and returns what `recover` returns. */
export type RunGuarded = <T>(unit: WorkUnit, step: () => T, recover: () => T) => T;

/** Frames of the stack that are logged. */
const LOGGED_FRAMES = 8;

/** Describes an error for the log. */
function describeError(error: unknown): { reason: string; stack: string[] } {
  if (!(error instanceof Error)) {
    return { reason: String(error), stack: [] };
  }
  const [, ...frames] = error.stack?.split('\n') ?? [];
  return { reason: error.message, stack: frames.slice(0, LOGGED_FRAMES).map((one) => one.trim()) };
}

/** Creates the function that runs guarded steps. */
export function createFailureGuard(
  log: decisionLog.DecisionLog,
  metrics: gatewayMetrics.GatewayMetrics,
  readNow: () => number,
): RunGuarded {
  const code = schema.ResultCode.INTERNAL;
  return (unit, step, recover) => {
    try {
      return step();
    } catch (error) {
      metrics.recordInternalError(unit);
      const fields = { unit, code, result: schema.ResultCode[code], ...describeError(error) };
      log.write('internal-error', fields, readNow());
      return recover();
    }
  };
}
