import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as stream from 'node:stream';
import * as nodeTest from 'node:test';
import * as clipanion from 'clipanion';
import * as app from './app.js';

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'toucanproxy-cli-'));
nodeTest.after(() => fs.rmSync(folder, { recursive: true }));

/** Writes a file and returns its path. */
function writeFile(name: string, content: unknown): string {
  const file = path.join(folder, name);
  fs.writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content));
  return file;
}

/** Runs the program and collects what it prints. */
async function runProgram(...args: string[]) {
  const printed: string[] = [];
  const sink = new stream.Writable({
    write: (chunk, _encoding, done) => {
      printed.push(String(chunk));
      done();
    },
  });
  const base = clipanion.Cli.defaultContext;
  const code = await app.runCli(args, { ...base, stdout: sink, stderr: sink });
  return { code, text: printed.join('') };
}

/** Builds a document without faults. */
function buildDocument(version: number, ids: string[]): Record<string, unknown> {
  return {
    service: 'ledgerhat',
    version,
    kind: 'SERVICE_KIND_PLAIN',
    tiers: ['stall'],
    routes: [{ pathPrefix: '/' }],
    backendServers: ids.map((id, index) => ({
      id,
      address: `10.0.0.${index + 1}:7402`,
      failureDomain: 'nadi-store',
      addedInVersion: 1,
    })),
  };
}

const ENTRY = {
  entryId: 'entry-1',
  failureDomain: 'ate',
  services: ['ledgerhat'],
  platform: { configurationUrl: 'http://10.0.0.9:8500' },
};

nodeTest.test('check: valid files of each kind', async () => {
  const files = [
    writeFile('entry.json', ENTRY),
    writeFile('document.json', buildDocument(1, ['a'])),
    writeFile('agent.json', {
      backendServerId: 'a',
      service: 'ledgerhat',
      failureDomain: 'ate',
      platform: ENTRY.platform,
      engineUrl: 'http://127.0.0.1:8000',
    }),
  ];
  const { code, text } = await runProgram('check', ...files);
  assert.equal(code, 0, text);
  assert.match(text, /entry without faults\n.*document without faults\n.*agent without faults/);
});

nodeTest.test('check: every fault of every file', async () => {
  const one = writeFile('bad-entry.json', { ...ENTRY, entryId: '', colour: 1 });
  const two = writeFile('bad-document.json', { ...buildDocument(0, ['a']), tiers: [] });
  const three = writeFile('bad-text.json', '{');
  const { code, text } = await runProgram('check', one, two, three);
  assert.equal(code, 4);
  assert.match(text, /bad-entry.json: result 401 SETTINGS_FAULT, 2 faults/);
  assert.match(text, /\$\.colour: found an unknown field; allowed: entryId, /);
  assert.match(text, /bad-document.json: result 402 DOCUMENT_FAULT, 3 faults/);
  assert.match(text, /\$\.version: found 0; allowed: a whole number from 1/);
  assert.match(text, /bad-text.json: \$: found SyntaxError; allowed: JSON/);
});

nodeTest.test('check: effective values', async () => {
  const document = writeFile('effective.json', buildDocument(1, ['a']));
  const { text } = await runProgram('check', '--effective', document);
  const shown = JSON.parse(text) as { timing: Record<string, number>; routes: object[] };
  assert.equal(shown.timing.heartbeatIntervalMs, 500);
  assert.deepEqual(shown.routes, [{ pathPrefix: '/', repeat: 'REPEAT_ONCE' }]);
  const entry = await runProgram('check', '--effective', writeFile('entry-2.json', ENTRY));
  const settings = JSON.parse(entry.text) as { callerLimits: Record<string, number> };
  assert.equal(settings.callerLimits.maxConnections, 10_000);
});

nodeTest.test('check: change of a document', async () => {
  const old = writeFile('old.json', buildDocument(1, ['a', 'b']));
  const good = writeFile('good.json', buildDocument(2, ['a', 'b']));
  const bad = writeFile('bad.json', buildDocument(1, ['a']));
  assert.equal((await runProgram('check', '--after', old, good)).code, 0);
  const { code, text } = await runProgram('check', '--after', old, bad);
  assert.equal(code, 4);
  assert.match(text, /\$\.version: found 1; allowed: more than 1/);
  assert.match(text, /\$\.backendServers: found no b; allowed: b with BACKEND_SERVER_STATE_GONE/);
});

nodeTest.test('exit codes', async () => {
  assert.equal((await runProgram('check', path.join(folder, 'none.json'))).code, 2);
  assert.equal((await runProgram('check', '--kind', 'x', folder)).code, 2);
  assert.equal((await runProgram('chekc')).code, 2);
  assert.equal((await runProgram('status', '127.0.0.1:1')).code, 3);
  const faulty = await runProgram('entry', '--settings', writeFile('faulty.json', {}));
  assert.equal(faulty.code, 4);
  assert.match(faulty.text, /result 401 SETTINGS_FAULT/);
  const help = await runProgram('--help');
  assert.equal(help.code, 0);
  ['entry', 'agent', 'check', 'status', 'explain'].forEach((name) =>
    assert.match(help.text, new RegExp(`toucanproxy ${name}`)),
  );
});

nodeTest.test('status: table and JSON', async (context) => {
  const status = { role: 'entry', backendServers: [{ id: 'a', state: 'live' }] };
  const server = http.createServer((_request, response) => response.end(JSON.stringify(status)));
  context.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const table = await runProgram('status', address);
  assert.equal(table.code, 0);
  assert.match(table.text, /role {2}entry\n\nbackendServers:\n {2}id {2}state\n {2}a {3}live/);
  const json = await runProgram('status', '--json', address);
  assert.deepEqual(JSON.parse(json.text), { address, status });
});

nodeTest.test('explain: lines of one request in order', async () => {
  const line = (second: number, event: string, fields: object) =>
    JSON.stringify({ time: `2026-01-01T00:00:0${second}.000Z`, event, pid: 1, ...fields });
  const entry = writeFile(
    'entry.log',
    [
      line(1, 'placement', { entry: 'e', request: 'e-1-1', chosen: 'a' }),
      line(3, 'completed', { entry: 'e', request: 'e-1-1' }),
      line(2, 'placement', { entry: 'e', request: 'e-1-10' }),
      'no log line',
    ].join('\n'),
  );
  const agent = writeFile('agent.log', line(2, 'start', { agent: 'a', request: 'e-1-1#1' }));
  const { code, text } = await runProgram('explain', 'e-1-1', entry, agent);
  assert.equal(code, 0);
  const events = text
    .trim()
    .split('\n')
    .map((one) => one.split('  ').slice(1).join(' '));
  assert.deepEqual(events, ['e placement chosen=a', 'a start', 'e completed']);
  assert.equal((await runProgram('explain', 'e-1-2', entry)).code, 3);
});
