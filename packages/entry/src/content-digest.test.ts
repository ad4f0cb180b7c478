import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as contentDigest from './content-digest.js';

const CONTENT = {
  workspace: 'brim',
  method: 'POST',
  path: '/order-tags',
  contentType: 'text/plain',
  payload: Buffer.from('tag 17'),
};

nodeTest.test('digest: each part counts', () => {
  const changes = [
    { workspace: 'band' },
    { method: 'PUT' },
    { path: '/order-tags/' },
    { contentType: 'text/html' },
    { payload: Buffer.from('tag 18') },
    { method: 'POS', path: 'T/order-tags' },
  ];
  const key = contentDigest.readDigestKey('');
  const digests = [{}, ...changes].map((change) =>
    contentDigest.computeDigest(key, { ...CONTENT, ...change }),
  );
  assert.equal(new Set(digests).size, digests.length);
  assert.equal(contentDigest.computeDigest(key, CONTENT), digests[0]);
  assert.notEqual(contentDigest.computeDigest('other', CONTENT), digests[0]);
});

nodeTest.test('digest: key from a file', (context) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'toucanproxy-digest-'));
  context.after(() => fs.rmSync(folder, { recursive: true }));
  const file = path.join(folder, 'digest.key');
  fs.writeFileSync(file, 'abc\n');
  assert.equal(contentDigest.readDigestKey(file), 'abc');
  fs.writeFileSync(file, '\n');
  assert.throws(() => contentDigest.readDigestKey(file), /is empty/);
});
