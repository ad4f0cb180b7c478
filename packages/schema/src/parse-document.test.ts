import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as checkChange from './check-change.js';
import * as parseDocument from './parse-document.js';

const DIGEST = 'a'.repeat(64);

/** Builds a document without faults, as JSON data. */
function buildDocument(changes: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    service: 'brimwit',
    version: 3,
    kind: 'SERVICE_KIND_MODEL',
    tiers: ['stall', 'draft'],
    routes: [{ pathPrefix: '/v1/', repeat: 'REPEAT_ONCE' }],
    workspaces: [{ name: 'brim' }],
    credentials: [{ tokenSha256: DIGEST, workspace: 'brim', tier: 'stall' }],
    backendServers: [buildServer()],
    ...changes,
  };
}

/** Builds a backend server without faults. */
function buildServer(changes: Record<string, unknown> = {}): Record<string, unknown> {
  const base = { id: 'a', address: '10.0.0.1:7402', failureDomain: 'suva-loft', addedInVersion: 1 };
  return { ...base, ...changes };
}

/** Lists the paths of the faults of a document. */
function listPaths(changes: Record<string, unknown>): string[] {
  const parsed = parseDocument.parseDocument(JSON.stringify(buildDocument(changes)));
  return parsed.kind === 'faulty' ? parsed.faults.map((fault) => fault.path) : [];
}

nodeTest.test('document without faults', () => {
  assert.deepEqual(listPaths({}), []);
});

nodeTest.test('structure: all faults at once', () => {
  const paths = listPaths({
    version: '3',
    tiers: 'stall',
    kind: 'SERVICE_KIND_OTHER',
    colour: 'red',
    routes: [{ pathPrefix: 7, retry: true }],
  });
  assert.deepEqual(paths.sort(), [
    '$.colour',
    '$.kind',
    '$.routes[0].pathPrefix',
    '$.routes[0].retry',
    '$.tiers',
    '$.version',
  ]);
});

nodeTest.test('structure and content at once', () => {
  // Rules that read `version`, which has the wrong type, are skipped; the others are applied.
  const paths = listPaths({ version: '3', colour: 'red', tiers: ['stall', 'draft', 'stall'] });
  assert.deepEqual(paths.sort(), ['$.colour', '$.tiers[2]', '$.version']);
});

nodeTest.test('a fault says what was found and what is allowed', () => {
  const parsed = parseDocument.parseDocument(JSON.stringify(buildDocument({ version: 0 })));
  assert.ok(parsed.kind === 'faulty');
  const [version] = parsed.faults;
  assert.deepEqual(version, { path: '$.version', found: '0', allowed: 'a whole number from 1' });
  assert.equal(parseDocument.parseDocument('{').kind, 'faulty');
});

const CASES: Record<string, [changes: Record<string, unknown>, path: string]> = {
  'no service': [{ service: '' }, '$.service'],
  'no kind': [{ kind: 'SERVICE_KIND_UNSPECIFIED' }, '$.kind'],
  'no tier': [{ tiers: [], credentials: [] }, '$.tiers'],
  'tier twice': [{ tiers: ['stall', 'stall'] }, '$.tiers[1]'],
  'no route': [{ routes: [] }, '$.routes'],
  'route without slash': [{ routes: [{ pathPrefix: 'v1' }] }, '$.routes[0].pathPrefix'],
  'workspace twice': [{ workspaces: [{ name: 'brim' }, { name: 'brim' }] }, '$.workspaces[1].name'],
  'unknown workspace': [
    { credentials: [{ tokenSha256: DIGEST, workspace: 'x', tier: 'stall' }] },
    '$.credentials[0].workspace',
  ],
  'unknown tier': [
    { credentials: [{ tokenSha256: DIGEST, workspace: 'brim', tier: 'x' }] },
    '$.credentials[0].tier',
  ],
  'server twice': [
    { backendServers: [buildServer(), buildServer({ address: '10.0.0.2:7402' })] },
    '$.backendServers[1].id',
  ],
  'address twice': [
    { backendServers: [buildServer(), buildServer({ id: 'b' })] },
    '$.backendServers[1].address',
  ],
  'address by name': [
    { backendServers: [buildServer({ address: 'runner:7402' })] },
    '$.backendServers[0].address',
  ],
  'added later': [
    { backendServers: [buildServer({ addedInVersion: 4 })] },
    '$.backendServers[0].addedInVersion',
  ],
  'gone while active': [
    { backendServers: [buildServer({ goneInVersion: 2 })] },
    '$.backendServers[0].goneInVersion',
  ],
  'gone at no version': [
    { backendServers: [buildServer({ state: 'BACKEND_SERVER_STATE_GONE' })] },
    '$.backendServers[0].goneInVersion',
  ],
  'settled later': [{ settledVersion: 4 }, '$.settledVersion'],
  'limit out of range': [{ limits: { retryBudgetPercent: 101 } }, '$.limits.retryBudgetPercent'],
  'default beyond longest': [{ timing: { maxDeadlineMs: 1000 } }, '$.timing.defaultDeadlineMs'],
  'timeout too short': [
    { timing: { heartbeatIntervalMs: 500, heartbeatTimeoutMs: 1000 } },
    '$.timing.heartbeatTimeoutMs',
  ],
};

Object.entries(CASES).forEach(([name, [changes, path]]) => {
  nodeTest.test(`document: ${name}`, () => {
    assert.deepEqual(listPaths(changes), [path]);
  });
});

nodeTest.test('a token in place of its hash is not shown', () => {
  // Somebody enters the token itself in place of its hash. Faults are written to the log, so they
  // must not contain its text.
  const token = 'brim-stall-secret';
  const credential = { tokenSha256: token, workspace: 'brim', tier: 'stall' };
  const credentials = [credential, credential, { ...credential, tokenSha256: 12345678 }];
  const semantic = JSON.stringify(buildDocument({ credentials: credentials.slice(0, 2) }));
  const structural = JSON.stringify(buildDocument({ credentials }));
  [semantic, structural].forEach((json) => {
    const parsed = parseDocument.parseDocument(json);
    assert.equal(parsed.kind, 'faulty');
    assert.doesNotMatch(JSON.stringify(parsed), /brim-stall-secret|12345678/);
  });
});

nodeTest.test('settings: all faults at once', () => {
  const parsed = parseDocument.parseEntrySettings(
    JSON.stringify({
      entryId: '',
      failureDomain: 'ate',
      callers: { host: 'localhost', port: 70_000 },
      platform: { configurationUrl: 'http://config.example:80' },
      services: ['a', 'a'],
      callerLimits: { maxHeaderBytes: 1 },
    }),
  );
  assert.ok(parsed.kind === 'faulty');
  assert.deepEqual(
    parsed.faults.map((fault) => fault.path),
    [
      '$.entryId',
      '$.callers.host',
      '$.callers.port',
      '$.platform.configurationUrl',
      '$.services[1]',
      '$.callerLimits.maxHeaderBytes',
    ],
  );
  const agent = parseDocument.parseAgentSettings('{"engineUrl":"ftp://10.0.0.1"}');
  assert.ok(agent.kind === 'faulty');
  assert.equal(agent.faults.at(-1)?.path, '$.engineUrl');
});

/** Lists the paths of the faults of a change. */
function listChangePaths(changes: Record<string, unknown>): string[] {
  const before = parseDocument.parseDocument(JSON.stringify(buildDocument()));
  const after = parseDocument.parseDocument(JSON.stringify(buildDocument(changes)));
  assert.ok(before.kind === 'parsed' && after.kind === 'parsed');
  return checkChange.checkChange(before.value, after.value).map((fault) => fault.path);
}

nodeTest.test('change: version, removed server, changed addedInVersion', () => {
  assert.deepEqual(listChangePaths({ version: 4 }), []);
  assert.deepEqual(listChangePaths({ version: 3 }), ['$.version']);
  assert.deepEqual(listChangePaths({ version: 4, backendServers: [] }), ['$.backendServers']);
  const moved = [buildServer({ addedInVersion: 2 })];
  assert.deepEqual(listChangePaths({ version: 4, backendServers: moved }), [
    '$.backendServers[0].addedInVersion',
  ]);
  const late = [buildServer(), buildServer({ id: 'b', address: '10.0.0.2:7402' })];
  assert.deepEqual(listChangePaths({ version: 4, backendServers: late }), [
    '$.backendServers[1].addedInVersion',
  ]);
});
