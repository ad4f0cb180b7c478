import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import * as agent from '@toucanproxy/agent';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as standIns from '@toucanproxy/stand-ins';

const REF_KEY = 'entry-1#1';
const encoder = new TextEncoder();
const BODY = JSON.stringify({ stream: true, max_tokens: 40, messages: [] });

type Setting = {
  engineUrl: string;
  journalFile: string;
  events: core.AgentEvent[];
  client: agent.EngineClient;
  waitFor: (matches: (event: core.AgentEvent) => boolean) => Promise<core.AgentEvent>;
};

/** Starts an engine and a client that records what it reports. */
async function startSetting(
  context: nodeTest.TestContext,
  options: Partial<standIns.EngineOptions>,
  isModel = true,
): Promise<Setting> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'toucanproxy-'));
  const journalFile = path.join(folder, 'journal');
  const engine = await standIns.startEngine({ journalFile, ...options });
  const engineUrl = `http://127.0.0.1:${engine.port}`;
  const events: core.AgentEvent[] = [];
  const waiting: (() => void)[] = [];
  const post = (event: core.AgentEvent) => {
    events.push(event);
    waiting.forEach((check) => check());
  };
  const isModelEngine = () => isModel;
  const noticeFault = () => {};
  const client = agent.createEngineClient({ engineUrl, isModelEngine, post, onFault: noticeFault });
  const waitFor = (matches: (event: core.AgentEvent) => boolean) =>
    new Promise<core.AgentEvent>((resolve) => {
      const check = () => {
        const found = events.find(matches);
        if (found !== undefined) {
          resolve(found);
        }
      };
      waiting.push(check);
      check();
    });
  context.after(() => {
    client.stop();
    engine.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  });
  return { engineUrl, journalFile, events, client, waitFor };
}

/** Builds the offer of a streamed request. */
function buildOffer(body: string): schema.Offer {
  return schema.create(schema.OfferSchema, {
    method: 'POST',
    path: '/v1/chat/completions',
    contentType: 'application/json',
    payload: encoder.encode(body),
  });
}

/** Joins the bytes that were reported. */
function collectAnswer(events: core.AgentEvent[]): string {
  const data = events.flatMap((event) => (event.kind === 'engineData' ? [event.data] : []));
  return Buffer.concat(data).toString('utf8');
}

/** Lists the events of the engine's journal. */
function listJournal(setting: Setting): string[] {
  const lines = fs.readFileSync(setting.journalFile, 'utf8').trim().split('\n');
  return lines.map((line) => (JSON.parse(line) as { event: string }).event);
}

const isEnd = (event: core.AgentEvent) =>
  event.kind === 'engineEnd' || event.kind === 'engineFailed';

nodeTest.test('a broken stream is resumed, not run again', async (context) => {
  // The connection to the engine breaks in mid-answer while the engine lives
  // on. The client resumes from the next byte: the answer is whole, no byte is
  // doubled, and the engine's journal shows one start.
  const setting = await startSetting(context, {});
  setting.client.start(REF_KEY, buildOffer(BODY));
  await setting.waitFor((event) => event.kind === 'engineData');
  await undici.request(`${setting.engineUrl}/test/break`, { method: 'POST' }).catch(() => {});
  assert.equal((await setting.waitFor(isEnd)).kind, 'engineEnd');
  const chunks = collectAnswer(setting.events).trim().split('\n\n');
  assert.equal(chunks.length, 41);
  assert.equal(new Set(chunks).size, 41);
  assert.deepEqual(listJournal(setting), ['start', 'end']);
});

nodeTest.test('a broken stream that cannot be resumed counts as run', async (context) => {
  const setting = await startSetting(context, { resumable: false });
  setting.client.start(REF_KEY, buildOffer(BODY));
  await setting.waitFor((event) => event.kind === 'engineData');
  await undici.request(`${setting.engineUrl}/test/break`, { method: 'POST' }).catch(() => {});
  const fault = core.EngineFault.CRASHED;
  assert.deepEqual(await setting.waitFor(isEnd), { kind: 'engineFailed', refKey: REF_KEY, fault });
});

nodeTest.test('a plain service is not asked to resume or cancel', async (context) => {
  // The paths of a model engine could be an order on a plain service. The
  // stand-in would resume the run; the client reports it as run and broken, and
  // asks for nothing.
  const setting = await startSetting(context, { stepMs: 20 }, false);
  setting.client.start(REF_KEY, buildOffer(BODY));
  await setting.waitFor((event) => event.kind === 'engineData');
  await undici.request(`${setting.engineUrl}/test/break`, { method: 'POST' }).catch(() => {});
  const fault = core.EngineFault.CRASHED;
  assert.deepEqual(await setting.waitFor(isEnd), { kind: 'engineFailed', refKey: REF_KEY, fault });
  setting.client.cancel(REF_KEY);
  const later = await undici.request(`${setting.engineUrl}/health`);
  await later.body.dump();
  assert.deepEqual(listJournal(setting), ['start']);
});

nodeTest.test('a cancelled run ends on the engine too', async (context) => {
  const setting = await startSetting(context, { stepMs: 20 });
  setting.client.start(REF_KEY, buildOffer(BODY));
  await setting.waitFor((event) => event.kind === 'engineData');
  setting.client.cancel(REF_KEY);
  const fault = core.EngineFault.FAILED;
  assert.deepEqual(await setting.waitFor(isEnd), { kind: 'engineFailed', refKey: REF_KEY, fault });
  while (!listJournal(setting).includes('cancel')) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  assert.deepEqual(listJournal(setting), ['start', 'cancel']);
});

nodeTest.test('an engine that is down is unreachable and probed', async (context) => {
  // Nothing listens on the engine's port any more. The attempt is reported as
  // never sent, and the probe tells that the engine is down.
  const engine = await standIns.startEngine({});
  engine.stop();
  const engineUrl = `http://127.0.0.1:${engine.port}`;
  const found = new Promise<boolean>((resolve) => {
    const probe = agent.startEngineProbe({ engineUrl, report: resolve });
    context.after(() => probe.stop());
  });
  assert.equal(await found, false);
  const fault = await new Promise((resolve) => {
    const client = agent.createEngineClient({
      engineUrl,
      isModelEngine: () => true,
      post: (event) => resolve(event.kind === 'engineFailed' ? event.fault : event.kind),
      onFault: () => {},
    });
    client.start(REF_KEY, buildOffer(BODY));
  });
  assert.equal(fault, core.EngineFault.UNREACHABLE);
});

nodeTest.test('a probe finds a living engine', async (context) => {
  const { engineUrl } = await startSetting(context, {});
  const available = await new Promise((resolve) => {
    const probe = agent.startEngineProbe({ engineUrl, report: resolve });
    context.after(() => probe.stop());
  });
  assert.equal(available, true);
});
