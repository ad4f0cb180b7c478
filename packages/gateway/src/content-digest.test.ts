import * as assert from 'node:assert/strict';
import type * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as contentDigest from './content-digest.js';

const { test } = nodeTest;

/** Computes the digest of a request with the given differences. */
function computeDigest(
  { method = 'GET', target = '/a/x', host = 'a.example', body = '' },
  workspace = 'workspace-1',
): string {
  const exchange = {
    method,
    target,
    headers: ['Host', host],
    body: Buffer.from(body),
    response: {} as http.ServerResponse,
    unreadMs: 0,
  };
  return contentDigest.createContentHash(exchange)(workspace);
}

// Guards against a response to one workspace that clears what another one sent.
test('requests that differ in workspace, host, target, method or body are other content', () => {
  const digests = [
    computeDigest({}),
    computeDigest({}, 'workspace-2'),
    computeDigest({ host: 'b.example' }),
    computeDigest({ target: '/a/x?y' }),
    computeDigest({ method: 'POST' }),
    computeDigest({ body: '{}' }),
  ];
  assert.equal(new Set(digests).size, digests.length);
  assert.equal(computeDigest({ host: 'A.example' }), digests[0]);
});
