import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configuration from './configuration.js';
import * as gatewayState from './gateway-state.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as peerCounts from './peer-counts.js';
import * as peerView from './peer-view.js';
import * as quotaLimit from './quota-limit.js';
import * as tokenQuota from './token-quota.js';

const { test } = nodeTest;
const DECLARED: configuration.Quota = {
  unit: configuration.QuotaUnit.TOKENS,
  perSecond: 1000,
  burst: 1000,
  defaultTokens: 10,
};
const QUOTA = quotaLimit.applyTolerance(DECLARED, { overage: 0, slack: 0, windowMs: 0 });

/** Charges the workspace with a request of the given cost. */
function takeTokens(
  quotas: tokenQuota.QuotaState,
  quota: quotaLimit.QuotaLimit,
  cost: number,
  share: number,
  now: number,
  urgency = 0,
): tokenQuota.QuotaDecision {
  return tokenQuota.takeQuota(
    quotas,
    quota,
    { workspace: 'w', cost, urgency },
    { share, gateways: 1, startedMs: now, isFirstStart: true },
    now,
  );
}

/** Sends a request of 100 tokens each 20 ms and counts those that are within the quota. */
function countWithin(quotas: tokenQuota.QuotaState, share: number, fromMs: number, toMs: number) {
  let within = 0;
  for (let now = fromMs; now < toMs; now += 20) {
    within += Number(takeTokens(quotas, QUOTA, 100, share, now).kind === 'within');
  }
  return within;
}

test('rate and burst', () => {
  const quotas = tokenQuota.createQuotaState();
  const within = countWithin(quotas, 1, 0, 4000);
  assert.ok(within >= 49 && within <= 51, String(within));
});

const TOLERANCE: quotaLimit.QuotaTolerance = { overage: 0.25, slack: 4000, windowMs: 8000 };

/** Time without requests before the load, milliseconds; long enough for the full burst. */
const QUIET_MS = 20_000;

/** Sends requests of 100 tokens at an interval and lists the times of those within the quota. */
function listWithin(quota: quotaLimit.QuotaLimit, everyMs: number, untilMs: number): number[] {
  const quotas = tokenQuota.createQuotaState();
  takeTokens(quotas, quota, 0, 1, -QUIET_MS);
  const asked = Array.from({ length: untilMs / everyMs }, (_, index) => index * everyMs);
  return asked.filter((now) => takeTokens(quotas, quota, 100, 1, now).kind === 'within');
}

test('tolerance applies to each window', () => {
  // For a minute, a workspace sends a third more than its quota, which the tolerance of each
  // window allows. If the tolerance were given only once, the excess would be refused after the
  // first seconds, although no window is near its limit.
  const raised = quotaLimit.applyTolerance(DECLARED, TOLERANCE);
  const everyMs = 75;
  assert.equal(listWithin(raised, everyMs, 60_000).length, 60_000 / everyMs);
});

test('no window exceeds the tolerance', () => {
  // A workspace sends ten times its quota. In any time span of the window's length, no more is
  // admitted than the quota and its tolerance allow.
  const raised = quotaLimit.applyTolerance(DECLARED, TOLERANCE);
  const admitted = listWithin(raised, 10, 60_000);
  const most = (DECLARED.perSecond * 8 + DECLARED.burst) * (1 + TOLERANCE.overage) + 4000;
  const fullest = Math.max(
    ...admitted.map((from) => admitted.filter((at) => at >= from && at < from + 8000).length),
  );
  assert.ok(fullest * 100 <= most, String(fullest));
  assert.ok(fullest * 100 >= 0.9 * most, String(fullest));
});

test('restarted gateways begin with a part of the tolerance', () => {
  // Guards against gateways that each admit a part of a burst again, several times in one window.
  const raised = quotaLimit.applyTolerance(DECLARED, TOLERANCE);
  const fleet = { share: 1, gateways: 1, startedMs: 0, isFirstStart: false };
  const take = (cost: number) => {
    const claim = { workspace: 'w', cost, urgency: 0 };
    return tokenQuota.takeQuota(tokenQuota.createQuotaState(), raised, claim, fleet, 0).kind;
  };
  const tolerated = (DECLARED.perSecond * 8 + DECLARED.burst) * TOLERANCE.overage + TOLERANCE.slack;
  assert.deepEqual([take(0.1 * tolerated), take(0.1 * tolerated + 1)], ['within', 'beyond']);
});

test('system that starts for the first time begins with the declared burst', () => {
  const raised = quotaLimit.applyTolerance(DECLARED, TOLERANCE);
  const { burst } = DECLARED;
  assert.equal(takeTokens(tokenQuota.createQuotaState(), raised, burst, 1, 0).kind, 'within');
  assert.equal(takeTokens(tokenQuota.createQuotaState(), raised, burst + 1, 1, 0).kind, 'beyond');
});

test('two gateways that reach each other', () => {
  // A workspace sends many times its quota to two gateways. Each reports to the other five times
  // a second what it has admitted; together they stay near one quota.
  const allQuotas = [tokenQuota.createQuotaState(), tokenQuota.createQuotaState()];
  const reported = [0, 0];
  let within = 0;
  for (let now = 0; now < 8000; now += 200) {
    const beginMs = now;
    const taken = allQuotas.map((quotas) => countWithin(quotas, 1, beginMs, beginMs + 200));
    within += taken[0] + taken[1];
    allQuotas.forEach((quotas, index) => {
      const used = tokenQuota.listUse(quotas, 1)[0]?.used ?? 0;
      tokenQuota.applyPeerUse(allQuotas[1 - index], 'w', used - reported[index], now);
      reported[index] = used;
    });
  }
  assert.ok(within * 100 <= 9000 * 1.25, String(within));
  assert.ok(within * 100 >= 9000 * 0.8, String(within));
});

test('share of an unreachable peer is reserved', () => {
  const quotas = tokenQuota.createQuotaState();
  const within = countWithin(quotas, 0.5, 0, 8000);
  assert.ok(within * 100 <= 4600, String(within));
});

test('request larger than the burst', () => {
  const quotas = tokenQuota.createQuotaState();
  assert.equal(takeTokens(quotas, QUOTA, 3000, 1, 0).kind, 'within');
  const next = takeTokens(quotas, QUOTA, 100, 1, 0);
  assert.equal(next.kind, 'beyond');
  assert.equal(next.kind === 'beyond' && Math.round(next.retryAfterMs), 2100);
});

test('urgent requests of a workspace go first', () => {
  // A workspace sends ten times its quota, nine tenths of it in less urgent requests. If requests
  // were served in order of arrival, nine in ten of the urgent ones would be refused.
  const quotas = tokenQuota.createQuotaState();
  const within = [0, 0];
  for (let now = 0; now < 20_000; now += 10) {
    const urgency = now % 100 === 50 ? 0 : 1;
    within[urgency] += Number(takeTokens(quotas, QUOTA, 100, 1, now, urgency).kind === 'within');
  }
  assert.ok(within[0] >= 195, String(within));
});

test('less urgent requests alone get the whole quota', () => {
  const quotas = tokenQuota.createQuotaState();
  takeTokens(quotas, QUOTA, 100, 1, 0, 0);
  let within = 0;
  for (let now = 20_000; now < 24_000; now += 20) {
    within += Number(takeTokens(quotas, QUOTA, 100, 1, now, 3).kind === 'within');
  }
  assert.ok(within >= 49, String(within));
});

test('request that was not run is not charged', () => {
  const quotas = tokenQuota.createQuotaState();
  takeTokens(quotas, QUOTA, 1000, 1, 0);
  tokenQuota.releaseQuota(quotas, 'w', 1000);
  assert.equal(takeTokens(quotas, QUOTA, 1000, 1, 0).kind, 'within');
});

/** Builds a peer's report. */
function buildReport(sequence: number, used: number, life = 'a'): peerView.PeerReport {
  return {
    address: '10.0.0.2:1',
    life,
    sequence,
    leaving: false,
    used: new Map([['w', used]]),
    processorPercent: 50,
    configurationVersion: 1,
    peers: [],
  };
}

test('totals that peers report', () => {
  // Reports are lost, duplicated and out of order, and the first report of a peer arrives after it
  // has run for a long time. What it admitted before that report is not charged; what it admits
  // later is charged once.
  const view = peerView.createPeerView();
  assert.deepEqual(peerView.applyReport(view, buildReport(900, 1e9), 0), []);
  assert.deepEqual(peerView.applyReport(view, buildReport(905, 1e9 + 500), 1), [
    { workspace: 'w', amount: 500 },
  ]);
  assert.deepEqual(peerView.applyReport(view, buildReport(905, 1e9 + 500), 2), []);
  assert.deepEqual(peerView.applyReport(view, buildReport(903, 1e9 + 100), 2), []);
  assert.deepEqual(peerView.applyReport(view, buildReport(1, 70, 'b'), 3), [
    { workspace: 'w', amount: 70 },
  ]);
});

test('use that a newly started peer reports is charged at once', () => {
  // All gateways were killed and restart at the same moment. Until they receive reports, each
  // admits requests independently. What a peer admitted in its first seconds must be charged with
  // its first report; otherwise a workspace would get that amount beyond its limit.
  const view = peerView.createPeerView();
  assert.deepEqual(peerView.applyReport(view, buildReport(2, 300), 0), [
    { workspace: 'w', amount: 300 },
  ]);
});

test('use of a newly started gateway that leaves is charged once', () => {
  // A gateway that has just started shuts down and announces this in each report until it is
  // gone. Its total counts once, and a late report from before does not add it to the peers again.
  const view = peerView.createPeerView();
  const leaving = { leaving: true };
  assert.equal(peerView.applyReport(view, { ...buildReport(2, 300), ...leaving }, 0).length, 1);
  assert.deepEqual(peerView.applyReport(view, { ...buildReport(3, 300), ...leaving }, 200), []);
  assert.deepEqual(peerView.applyReport(view, buildReport(1, 200), 300), []);
  assert.equal(peerCounts.countGateways(view), 1);
});

test('gateways that restart in turn', () => {
  // Guards against a burst that each of many gateways admits after a restart.
  const gateways = 26;
  const raised = quotaLimit.applyTolerance(DECLARED, TOLERANCE);
  const claim = { workspace: 'w', cost: 10, urgency: 0 };
  let used = 0;
  for (let index = 0; index < gateways; index += 1) {
    const quotas = tokenQuota.createQuotaState();
    const fleet = { share: 1, gateways, startedMs: 0, isFirstStart: false };
    while (tokenQuota.takeQuota(quotas, raised, claim, fleet, 0).kind === 'within') {
      used += claim.cost;
    }
  }
  assert.ok(used > 0 && used <= raised.restartBurst, String(used));
});

test('bucket is refilled from the start if the quota was not used', () => {
  // A gateway has run for ten seconds when the first request of a workspace arrives. The whole
  // burst is available unless peers have admitted requests of the workspace.
  const fleet = { share: 1, gateways: 4, startedMs: 0, isFirstStart: false };
  const claim = { workspace: 'w', cost: QUOTA.burst, urgency: 0 };
  const unused = tokenQuota.createQuotaState();
  assert.equal(tokenQuota.takeQuota(unused, QUOTA, claim, fleet, 10_000).kind, 'within');
  const used = tokenQuota.createQuotaState();
  tokenQuota.applyPeerUse(used, 'w', 10, 10_000);
  assert.equal(tokenQuota.takeQuota(used, QUOTA, claim, fleet, 10_000).kind, 'beyond');
});

test('bucket is refilled from the start and charged with the use of peers', () => {
  // Twenty-six gateways have run for ten seconds when callers arrive. The first request of a
  // workspace at this gateway arrives after peers have admitted a fifth of its burst, so four
  // fifths are left. If the bucket began with a twenty-sixth, requests within the quota would be
  // refused all day.
  const fleet = { share: 1, gateways: 26, startedMs: 0, isFirstStart: false };
  const quotas = tokenQuota.createQuotaState();
  tokenQuota.applyPeerUse(quotas, 'w', QUOTA.burst / 10, 10_000);
  tokenQuota.applyPeerUse(quotas, 'w', QUOTA.burst / 10, 10_010);
  const most = { workspace: 'w', cost: 0.8 * QUOTA.burst, urgency: 0 };
  assert.equal(tokenQuota.takeQuota(quotas, QUOTA, most, fleet, 10_010).kind, 'within');
  const more = { ...most, cost: 0.05 * QUOTA.burst };
  assert.equal(tokenQuota.takeQuota(quotas, QUOTA, more, fleet, 10_010).kind, 'beyond');
});

test('reports of many peers arrive less often', () => {
  // Each gateway sends its reports to sixteen peers at a time, in turn, so among 410 gateways a
  // report of each arrives every five seconds. If peers counted as unreachable in between, nearly
  // all of each quota would be reserved for them.
  const view = peerView.createPeerView();
  for (let index = 0; index < 409; index += 1) {
    const address = `10.0.${Math.floor(index / 200)}.${index % 200}:1`;
    peerView.applyReport(view, { ...buildReport(1, 0), address }, 0);
  }
  assert.equal(peerCounts.countUnreachablePeers(view, 6000), 0);
  assert.equal(peerCounts.countUnreachablePeers(view, 30_000), 409);
});

test('unreachable peers count, departed ones do not', () => {
  const view = peerView.createPeerView();
  peerView.applyReport(view, buildReport(1, 0), 0);
  assert.equal(peerCounts.countGateways(view), 2);
  assert.equal(peerCounts.countUnreachablePeers(view, 900), 0);
  assert.equal(peerCounts.countUnreachablePeers(view, 5000), 1);
  assert.equal(peerCounts.listSchedulerCandidates(view, 900).length, 1);
  assert.equal(peerCounts.listSchedulerCandidates(view, 5000).length, 0);
  peerView.applyReport(view, { ...buildReport(2, 0), leaving: true }, 5001);
  assert.equal(peerCounts.countGateways(view), 1);
});

test('gateways on both sides of a partition keep one quota', () => {
  // Guards against forgetting a gateway that still serves behind a partition of nearly a minute:
  // each side would admit the whole quota.
  const states = [gatewayFixture.createTestGateway([]), gatewayFixture.createTestGateway([])];
  states.forEach(({ peers }) => peerView.applyReport(peers, buildReport(1, 0), 0));
  const seconds = Array.from({ length: 59 }, (_, second) => second * 1000);
  const within = seconds.map((now) =>
    states.reduce((sum, state) => {
      peerView.expirePeers(state.peers, now);
      const share = gatewayState.computeQuotaShare(state, now);
      return sum + countWithin(state.quotas, share, now, now + 1000);
    }, 0),
  );
  const admitted = 100 * within.slice(10).reduce((sum, one) => sum + one, 0);
  assert.ok(admitted <= 1.02 * DECLARED.perSecond * 49, String(admitted));
});
