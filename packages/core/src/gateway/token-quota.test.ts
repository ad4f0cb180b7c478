import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configuration from './configuration.js';
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
const QUOTA = quotaLimit.raiseQuota(DECLARED, { overage: 0, slack: 0, windowMs: 0 });

/** Asks for tokens of the workspace. */
function takeTokens(
  book: tokenQuota.QuotaBook,
  quota: quotaLimit.QuotaLimit,
  cost: number,
  share: number,
  now: number,
  urgency = 0,
): tokenQuota.QuotaDecision {
  return tokenQuota.takeQuota(
    book,
    quota,
    { workspace: 'w', cost, urgency },
    { share, gateways: 1, startedMs: now },
    now,
  );
}

/** Takes requests of 100 tokens and counts those that are within the quota. */
function countWithin(book: tokenQuota.QuotaBook, share: number, fromMs: number, toMs: number) {
  let within = 0;
  for (let now = fromMs; now < toMs; now += 20) {
    within += Number(takeTokens(book, QUOTA, 100, share, now).kind === 'within');
  }
  return within;
}

test('rate and burst', () => {
  const book = tokenQuota.createQuotaBook();
  const within = countWithin(book, 1, 0, 4000);
  assert.ok(within >= 49 && within <= 51, String(within));
});

const TOLERANCE: quotaLimit.QuotaTolerance = { overage: 0.25, slack: 4000, windowMs: 8000 };

/** Time without requests before a load, milliseconds: the burst is there in full. */
const QUIET_MS = 20_000;

/** Lists when requests of 100 tokens are within a quota, asked for each so many milliseconds. */
function listWithin(quota: quotaLimit.QuotaLimit, everyMs: number, untilMs: number): number[] {
  const book = tokenQuota.createQuotaBook();
  takeTokens(book, quota, 0, 1, -QUIET_MS);
  const asked = Array.from({ length: untilMs / everyMs }, (_, index) => index * everyMs);
  return asked.filter((now) => takeTokens(book, quota, 100, 1, now).kind === 'within');
}

test('tolerance holds for each window', () => {
  // A workspace sends a third more than its quota for a minute, which the tolerance
  // of each window allows. Where it is given out once, all that is asked after the
  // first seconds beyond the quota is refused, though no window is near its limit.
  const raised = quotaLimit.raiseQuota(DECLARED, TOLERANCE);
  const everyMs = 75;
  assert.equal(listWithin(raised, everyMs, 60_000).length, 60_000 / everyMs);
});

test('no window beyond the tolerance', () => {
  // A workspace sends ten times its quota. Whatever span of a window's length is
  // taken, no more is admitted than the quota and its tolerance allow.
  const raised = quotaLimit.raiseQuota(DECLARED, TOLERANCE);
  const admitted = listWithin(raised, 10, 60_000);
  const most = (DECLARED.perSecond * 8 + DECLARED.burst) * (1 + TOLERANCE.overage) + 4000;
  const fullest = Math.max(
    ...admitted.map((from) => admitted.filter((at) => at >= from && at < from + 8000).length),
  );
  assert.ok(fullest * 100 <= most, String(fullest));
  assert.ok(fullest * 100 >= 0.9 * most, String(fullest));
});

test('restart begins with the declared burst', () => {
  // All gateways are killed after a workspace used a window up, and start again at
  // once without a memory of it. The raised burst on top of that window would be
  // beyond its limit.
  const raised = quotaLimit.raiseQuota(DECLARED, TOLERANCE);
  const { burst } = DECLARED;
  assert.equal(takeTokens(tokenQuota.createQuotaBook(), raised, burst, 1, 0).kind, 'within');
  assert.equal(takeTokens(tokenQuota.createQuotaBook(), raised, burst + 1, 1, 0).kind, 'beyond');
});

test('two gateways that hear each other', () => {
  // A workspace sends many times its quota to two gateways. Each tells the other
  // five times a second what it admitted; together they stay near one quota.
  const books = [tokenQuota.createQuotaBook(), tokenQuota.createQuotaBook()];
  const told = [0, 0];
  let within = 0;
  for (let now = 0; now < 8000; now += 200) {
    const beginMs = now;
    const taken = books.map((book) => countWithin(book, 1, beginMs, beginMs + 200));
    within += taken[0] + taken[1];
    books.forEach((book, index) => {
      const used = tokenQuota.listUse(book, 1)[0]?.used ?? 0;
      tokenQuota.applyPeerUse(books[1 - index], 'w', used - told[index], now);
      told[index] = used;
    });
  }
  assert.ok(within * 100 <= 9000 * 1.25, String(within));
  assert.ok(within * 100 >= 9000 * 0.8, String(within));
});

test('silent peer keeps its share', () => {
  const book = tokenQuota.createQuotaBook();
  const within = countWithin(book, 0.5, 0, 8000);
  assert.ok(within * 100 <= 4600, String(within));
});

test('one larger than the burst', () => {
  const book = tokenQuota.createQuotaBook();
  assert.equal(takeTokens(book, QUOTA, 3000, 1, 0).kind, 'within');
  const next = takeTokens(book, QUOTA, 100, 1, 0);
  assert.equal(next.kind, 'beyond');
  assert.equal(next.kind === 'beyond' && Math.round(next.retryAfterMs), 2100);
});

test('urgent ones of a workspace first', () => {
  // A workspace sends ten times its quota, nine tenths of it less urgent requests.
  // First come, first served, nine in ten of the urgent ones would be refused.
  const book = tokenQuota.createQuotaBook();
  const within = [0, 0];
  for (let now = 0; now < 20_000; now += 10) {
    const urgency = now % 100 === 50 ? 0 : 1;
    within[urgency] += Number(takeTokens(book, QUOTA, 100, 1, now, urgency).kind === 'within');
  }
  assert.ok(within[0] >= 195, String(within));
});

test('less urgent ones alone have it all', () => {
  const book = tokenQuota.createQuotaBook();
  takeTokens(book, QUOTA, 100, 1, 0, 0);
  let within = 0;
  for (let now = 20_000; now < 24_000; now += 20) {
    within += Number(takeTokens(book, QUOTA, 100, 1, now, 3).kind === 'within');
  }
  assert.ok(within >= 49, String(within));
});

test('not run, not charged', () => {
  const book = tokenQuota.createQuotaBook();
  takeTokens(book, QUOTA, 1000, 1, 0);
  tokenQuota.releaseQuota(book, 'w', 1000);
  assert.equal(takeTokens(book, QUOTA, 1000, 1, 0).kind, 'within');
});

/** Builds a report of a peer. */
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

test('totals of peers', () => {
  // Reports are lost, doubled and out of order, and a peer that has run for long
  // is heard for the first time. What it admitted is charged once.
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

test('young peers are charged at once', () => {
  // All gateways were killed and start at the same moment. Until they hear each other
  // each admits by itself; what a peer has admitted in its first seconds counts as
  // soon as it is heard, or a workspace gets that on top of its limit.
  const view = peerView.createPeerView();
  assert.deepEqual(peerView.applyReport(view, buildReport(2, 300), 0), [
    { workspace: 'w', amount: 300 },
  ]);
});

test('a young gateway that leaves is charged once', () => {
  // A gateway that has just started is told to stop and says so with each report until it
  // is gone. Its total counts once, and a late report from before does not bring it back.
  const view = peerView.createPeerView();
  const leaving = { leaving: true };
  assert.equal(peerView.applyReport(view, { ...buildReport(2, 300), ...leaving }, 0).length, 1);
  assert.deepEqual(peerView.applyReport(view, { ...buildReport(3, 300), ...leaving }, 200), []);
  assert.deepEqual(peerView.applyReport(view, buildReport(1, 200), 300), []);
  assert.equal(peerView.countGateways(view), 1);
});

test('gateways that restart in turn', () => {
  // Twenty-six gateways restart one after the other while a workspace is beyond its
  // quota. Each begins with its part of the burst; all together give out one.
  const gateways = 26;
  const claim = { workspace: 'w', cost: 10, urgency: 0 };
  let used = 0;
  for (let index = 0; index < gateways; index += 1) {
    const book = tokenQuota.createQuotaBook();
    const fleet = { share: 1, gateways, startedMs: 0 };
    while (tokenQuota.takeQuota(book, QUOTA, claim, fleet, 0).kind === 'within') {
      used += claim.cost;
    }
  }
  assert.ok(used <= QUOTA.burst, String(used));
});

test('filled since the start, where nobody used it', () => {
  // A gateway has run for ten seconds when a workspace asks for the first time. Its
  // whole burst is there, unless peers have admitted requests of the workspace.
  const fleet = { share: 1, gateways: 4, startedMs: 0 };
  const claim = { workspace: 'w', cost: QUOTA.burst, urgency: 0 };
  const unused = tokenQuota.createQuotaBook();
  assert.equal(tokenQuota.takeQuota(unused, QUOTA, claim, fleet, 10_000).kind, 'within');
  const used = tokenQuota.createQuotaBook();
  tokenQuota.applyPeerUse(used, 'w', 10, 10_000);
  assert.equal(tokenQuota.takeQuota(used, QUOTA, claim, fleet, 10_000).kind, 'beyond');
});

test('filled until peers used it, and less what they used', () => {
  // Twenty-six gateways have run for ten seconds when callers come. The first request of
  // a workspace at this one comes after peers have admitted a fifth of its burst: four
  // fifths are left. Begun with a twenty-sixth, the bucket would refuse all day what is
  // within the quota.
  const fleet = { share: 1, gateways: 26, startedMs: 0 };
  const book = tokenQuota.createQuotaBook();
  tokenQuota.applyPeerUse(book, 'w', QUOTA.burst / 10, 10_000);
  tokenQuota.applyPeerUse(book, 'w', QUOTA.burst / 10, 10_010);
  const most = { workspace: 'w', cost: 0.8 * QUOTA.burst, urgency: 0 };
  assert.equal(tokenQuota.takeQuota(book, QUOTA, most, fleet, 10_010).kind, 'within');
  const more = { ...most, cost: 0.05 * QUOTA.burst };
  assert.equal(tokenQuota.takeQuota(book, QUOTA, more, fleet, 10_010).kind, 'beyond');
});

test('many peers are heard less often', () => {
  // Reports go to sixteen peers in turn, so that among 410 gateways each is heard
  // every five seconds. Taken as silent in between, nearly the whole of each quota
  // would be kept free for them.
  const view = peerView.createPeerView();
  for (let index = 0; index < 409; index += 1) {
    const address = `10.0.${Math.floor(index / 200)}.${index % 200}:1`;
    peerView.applyReport(view, { ...buildReport(1, 0), address }, 0);
  }
  assert.equal(peerView.countUnreachablePeers(view, 6000), 0);
  assert.equal(peerView.countUnreachablePeers(view, 30_000), 409);
});

test('silent peers count, departed ones do not', () => {
  const view = peerView.createPeerView();
  peerView.applyReport(view, buildReport(1, 0), 0);
  assert.equal(peerView.countGateways(view), 2);
  assert.equal(peerView.countUnreachablePeers(view, 900), 0);
  assert.equal(peerView.countUnreachablePeers(view, 5000), 1);
  assert.equal(peerView.listSchedulerCandidates(view, 900).length, 1);
  assert.equal(peerView.listSchedulerCandidates(view, 5000).length, 0);
  peerView.applyReport(view, { ...buildReport(2, 0), leaving: true }, 5001);
  assert.equal(peerView.countGateways(view), 1);
});
