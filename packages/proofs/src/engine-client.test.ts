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

type Fixture = {
  engineUrl: string;
  journalFile: string;
  events: core.AgentEvent[];
  client: agent.EngineClient;
  waitFor: (matches: (event: core.AgentEvent) => boolean) => Promise<core.AgentEvent>;
};

/** Starts an engine and an engine client, and records the events that the client posts. */
async function startFixture(
  context: nodeTest.TestContext,
  options: Partial<standIns.EngineOptions>,
  isModel = true,
): Promise<Fixture> {
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

/** Concatenates the response data that was reported. */
function collectResponse(events: core.AgentEvent[]): string {
  const data = events.flatMap((event) => (event.kind === 'engineData' ? [event.data] : []));
  return Buffer.concat(data).toString('utf8');
}

/** Lists the events of the engine's journal. */
function listJournalEvents(fixture: Fixture): string[] {
  const lines = fs.readFileSync(fixture.journalFile, 'utf8').trim().split('\n');
  return lines.map((line) => (JSON.parse(line) as { event: string }).event);
}

const isEnd = (event: core.AgentEvent) =>
  event.kind === 'engineEnd' || event.kind === 'engineFailed';

nodeTest.test('a broken stream is resumed, not run again', async (context) => {
  // The connection to the engine breaks during a response while the engine keeps
  // running. The client resumes from the next byte: the response is complete, no
  // byte is duplicated, and the engine's journal shows one start.
  const fixture = await startFixture(context, {});
  fixture.client.start(REF_KEY, buildOffer(BODY));
  await fixture.waitFor((event) => event.kind === 'engineData');
  await undici.request(`${fixture.engineUrl}/test/break`, { method: 'POST' }).catch(() => {});
  assert.equal((await fixture.waitFor(isEnd)).kind, 'engineEnd');
  const chunks = collectResponse(fixture.events).trim().split('\n\n');
  assert.equal(chunks.length, 41);
  assert.equal(new Set(chunks).size, 41);
  assert.deepEqual(listJournalEvents(fixture), ['start', 'end']);
});

nodeTest.test('a broken stream that cannot be resumed counts as run', async (context) => {
  const fixture = await startFixture(context, { resumable: false });
  fixture.client.start(REF_KEY, buildOffer(BODY));
  await fixture.waitFor((event) => event.kind === 'engineData');
  await undici.request(`${fixture.engineUrl}/test/break`, { method: 'POST' }).catch(() => {});
  const fault = core.EngineFault.CRASHED;
  assert.deepEqual(await fixture.waitFor(isEnd), { kind: 'engineFailed', refKey: REF_KEY, fault });
});

nodeTest.test('a plain service is not asked to resume or cancel', async (context) => {
  // The resume and cancel paths of a model engine could trigger an action on a plain
  // service. The stand-in would resume the run, but the client reports it as run
  // and broken, and calls neither path.
  const fixture = await startFixture(context, { stepMs: 20 }, false);
  fixture.client.start(REF_KEY, buildOffer(BODY));
  await fixture.waitFor((event) => event.kind === 'engineData');
  await undici.request(`${fixture.engineUrl}/test/break`, { method: 'POST' }).catch(() => {});
  const fault = core.EngineFault.CRASHED;
  assert.deepEqual(await fixture.waitFor(isEnd), { kind: 'engineFailed', refKey: REF_KEY, fault });
  fixture.client.cancel(REF_KEY);
  const later = await undici.request(`${fixture.engineUrl}/health`);
  await later.body.dump();
  assert.deepEqual(listJournalEvents(fixture), ['start']);
});

nodeTest.test('a cancelled run ends on the engine too', async (context) => {
  const fixture = await startFixture(context, { stepMs: 20 });
  fixture.client.start(REF_KEY, buildOffer(BODY));
  await fixture.waitFor((event) => event.kind === 'engineData');
  fixture.client.cancel(REF_KEY);
  const fault = core.EngineFault.FAILED;
  assert.deepEqual(await fixture.waitFor(isEnd), { kind: 'engineFailed', refKey: REF_KEY, fault });
  while (!listJournalEvents(fixture).includes('cancel')) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  assert.deepEqual(listJournalEvents(fixture), ['start', 'cancel']);
});

nodeTest.test('an engine that is down is unreachable and probed', async (context) => {
  // Nothing listens on the engine's port any more. The attempt is reported as
  // never sent, and the probe reports that the engine is unavailable.
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

nodeTest.test('a probe reports a running engine as available', async (context) => {
  const { engineUrl } = await startFixture(context, {});
  const available = await new Promise((resolve) => {
    const probe = agent.startEngineProbe({ engineUrl, report: resolve });
    context.after(() => probe.stop());
  });
  assert.equal(available, true);
});
