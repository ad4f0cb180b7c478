/** Finds in whose share of the body budget a request counts. */
import * as authorization from './authorization.js';
import type * as bodyBudget from './body-budget.js';
import type * as configurationLease from './configuration-lease.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';

/** Returns the workspace and urgency of a request whose headers have been read. */
export function findBodyHolder(
  state: gatewayState.GatewayState,
  arrived: Pick<gatewayRequest.ArrivedRequest, 'host' | 'path' | 'credential'>,
  clocks: configurationLease.ClockReading,
): bodyBudget.BodyHolder {
  const decision = authorization.checkAuthorization(state, arrived, clocks);
  if (decision.kind === 'refused') {
    return { workspace: undefined, urgency: Number.MAX_SAFE_INTEGER };
  }
  const { workspace } = decision.authorization;
  const urgency = requestAdmission.rankUrgency(decision.authorization);
  return { workspace: workspace?.name ?? '', urgency };
}
