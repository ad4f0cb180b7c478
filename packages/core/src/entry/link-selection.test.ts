import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as linkSelection from './link-selection.js';

const DOMAINS = Array.from({ length: 7 }, (_, index) => `domain-${index}`);
const ENTRIES = 410;

/** Builds agents that are spread over the failure domains. */
function buildAgents(count: number): linkSelection.LinkCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    backendServerId: `runner-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length],
  }));
}

/** Counts the entries linked to each agent, without those in one failure domain. */
function countEntries(agents: linkSelection.LinkCandidate[], links: number, lost = ''): number[] {
  const counts = new Map(agents.map((agent) => [agent.backendServerId, 0]));
  Array.from({ length: ENTRIES }, (_, index) => index).forEach((index) => {
    const domain = DOMAINS[index % DOMAINS.length];
    const chosen = linkSelection.selectLinks(`entry-${index}`, domain, agents, links);
    assert.equal(chosen.length, Math.min(links, agents.length));
    if (domain !== lost) {
      chosen.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
    }
  });
  return agents
    .filter((agent) => agent.failureDomain !== lost)
    .map((agent) => counts.get(agent.backendServerId) ?? 0);
}

nodeTest.test('agents keep enough entries', () => {
  // One service with all 600 backend servers, and one with 18, as with 33 models.
  // If a failure domain is lost with its entries and agents, every other agent must
  // still have enough entries.
  const cases = [
    { agents: 600, links: 32, least: 8 },
    { agents: 18, links: 3, least: 50 },
  ];
  cases.forEach(({ agents, links, least }) => {
    const built = buildAgents(agents);
    const allDomains = Math.min(...countEntries(built, links));
    const afterLoss = Math.min(...countEntries(built, links, DOMAINS[0]));
    assert.ok(allDomains >= least, `${agents} agents: ${allDomains}`);
    assert.ok(afterLoss >= least, `${agents} agents after the loss: ${afterLoss}`);
  });
});

nodeTest.test('links outside the failure domain of the entry', () => {
  const agents = buildAgents(600);
  const chosen = linkSelection.selectLinks('entry-1', 'domain-1', agents, 16);
  const remote = chosen.filter((id) => Number(id.split('-')[1]) % DOMAINS.length !== 1);
  assert.equal(remote.length, 4);
  const alone = linkSelection.selectLinks('entry-1', 'elsewhere', agents, 16);
  assert.equal(alone.length, 16);
});
