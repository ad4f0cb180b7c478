import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as undici from 'undici';
import * as standIns from '@toucanproxy/stand-ins';
import * as exampleDocument from './mocks/example-document.js';
import * as processFleet from './mocks/process-fleet.js';

const SERVICE = 'brimwit';
const AGENT_IDS = ['runner-1', 'runner-2'];
const ENTRY_IDS = ['entry-1', 'entry-2'];
const CLOCK_SKEW_MS = 50;
/** Slow enough that the first run goes on while its entry dies, milliseconds. */
const STEP_MS = 40;
const POLL_MS = 20;
const POLLS = 1500;

/** Starts an engine with its journal and the agent beside it. */
async function startAgent(fleet: processFleet.Fleet, id: string, configurationUrl: string) {
  const journalFile = path.join(fleet.folder, `${id}.journal`);
  const engine = await processFleet.startStandIn(fleet, 'engine', { journalFile, stepMs: STEP_MS });
  const agent = await processFleet.startDaemon(fleet, 'agent', {
    backendServerId: id,
    service: SERVICE,
    failureDomain: 'suva-loft',
    platform: { configurationUrl },
    engineUrl: `http://127.0.0.1:${engine.started.port}`,
  });
  return { id, address: `127.0.0.1:${agent.started.linkPort}`, journalFile };
}

type TestAgent = Awaited<ReturnType<typeof startAgent>>;

/** Lists the journal lines of runs that engines have started. */
function listStarts(agents: TestAgent[]): string[] {
  return agents
    .filter((agent) => fs.existsSync(agent.journalFile))
    .flatMap((agent) => fs.readFileSync(agent.journalFile, 'utf8').trim().split('\n'))
    .filter((line) => (JSON.parse(line) as { event: string }).event === 'start');
}

/** Waits until an engine has started a run, with a generous bound. */
async function waitForStart(agents: TestAgent[], polls = POLLS): Promise<void> {
  if (listStarts(agents).length === 0) {
    assert.ok(polls > 0, 'no engine started a run');
    await timers.setTimeout(POLL_MS);
    await waitForStart(agents, polls - 1);
  }
}

/** Starts two entries before two agents. */
async function startAll(fleet: processFleet.Fleet) {
  const platform = await processFleet.startStandIn(fleet, 'platform', {});
  const configurationUrl = `http://127.0.0.1:${platform.started.port}`;
  const agents = await Promise.all(AGENT_IDS.map((id) => startAgent(fleet, id, configurationUrl)));
  const document = exampleDocument.buildDocument(SERVICE, 1, agents);
  const body = JSON.stringify({ ...document, timing: { clockSkewMs: CLOCK_SKEW_MS } });
  await undici.request(`${configurationUrl}/test/documents/${SERVICE}`, { method: 'PUT', body });
  const digestKeyFile = path.join(fleet.folder, 'digest-key');
  fs.writeFileSync(digestKeyFile, 'shared');
  const entries = await Promise.all(
    ENTRY_IDS.map((entryId) =>
      processFleet.startDaemon(fleet, 'entry', {
        entryId,
        failureDomain: 'suva-loft',
        services: [SERVICE],
        platform: { configurationUrl },
        digestKeyFile,
      }),
    ),
  );
  await Promise.all(entries.map((entry) => entry.waitForLine((line) => line.event === 'document')));
  return { agents, entries };
}

/** Sends one order with a key and reads its answer. */
async function sendOrder(entry: processFleet.RunningProcess, key: string) {
  const url = `http://127.0.0.1:${entry.started.callerPort}/v1/chat/completions`;
  const response = await undici.request(url, {
    method: 'POST',
    headers: { authorization: 'Bearer brim-stall', 'idempotency-key': key },
    body: JSON.stringify({ model: SERVICE, messages: [], max_tokens: 60 }),
  });
  return { status: response.statusCode, text: await response.body.text() };
}

nodeTest.test('key resent through another entry whose first entry dies', async (context) => {
  // A caller's entry is killed while its order runs. The caller sends the same
  // key through the other entry and gets the whole answer of the one run; sent
  // once more, it gets that answer again. The engines' journals show one start.
  const fleet = processFleet.createFleet();
  context.after(() => processFleet.stopFleet(fleet));
  const { agents, entries } = await startAll(fleet);
  const [first, second] = entries;
  await timers.setTimeout(4 * CLOCK_SKEW_MS);
  const key = standIns.makeKey(Date.now());
  const lost = sendOrder(first, key).then(
    () => 'answered',
    () => 'lost',
  );
  await first.waitForLine((line) => line.event === 'claim' && line.outcome === 'granted');
  await waitForStart(agents);
  first.child.kill('SIGKILL');
  assert.equal(await lost, 'lost');
  const answer = await sendOrder(second, key);
  assert.equal(answer.status, 200, answer.text);
  const again = await sendOrder(second, key);
  assert.deepEqual(again, answer);
  assert.equal(listStarts(agents).length, 1);
});
