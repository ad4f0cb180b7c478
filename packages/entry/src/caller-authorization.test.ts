import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callerAuthorization from './caller-authorization.js';

const { ResultCode } = schema;

/** Builds documents with two tokens each, one of them shared, and a limit on bodies. */
function buildDocuments(limits: Record<string, number>): core.DocumentStore {
  const documents: core.DocumentStore = new Map();
  Object.entries(limits).forEach(([service, maxBodyBytes]) => {
    const credentials = [
      { tokenSha256: 'shared', workspace: `${service}-shared`, tier: 'stall' },
      { tokenSha256: service, workspace: service, tier: 'stall' },
    ];
    const document = schema.create(schema.ServiceDocumentSchema, {
      service,
      credentials,
      limits: { maxBodyBytes },
    });
    core.storeDocument(documents, { document, json: '' });
  });
  return documents;
}

nodeTest.test('authorization: limit of the service, or the greatest of the token', () => {
  const documents = buildDocuments({ a: 10, b: 20 });
  const find = (service: string | undefined, token: string) =>
    callerAuthorization.checkAuthorization(documents, ['a', 'b'], service, token);
  assert.deepEqual(find('a', 'shared'), { kind: 'granted', maxBodyBytes: 10 });
  assert.deepEqual(find(undefined, 'shared'), { kind: 'granted', maxBodyBytes: 20 });
  assert.deepEqual(find(undefined, 'a'), { kind: 'granted', maxBodyBytes: 10 });
  assert.deepEqual(find('b', 'a'), { kind: 'refused', code: ResultCode.UNAUTHENTICATED });
  assert.deepEqual(find('c', 'a'), { kind: 'refused', code: ResultCode.UNKNOWN_SERVICE });
  assert.equal(callerAuthorization.findWorkspace(documents, 'b', 'shared'), 'b-shared');
  assert.equal(callerAuthorization.findWorkspace(documents, 'b', 'a'), '');
});

nodeTest.test('authorization: a document that has not arrived yet', () => {
  // A newly started entry knows no token yet. Its callers must be asked to retry,
  // not told that their token is invalid.
  const documents = buildDocuments({ a: 10 });
  const find = (service: string | undefined, token: string) =>
    callerAuthorization.checkAuthorization(documents, ['a', 'b'], service, token);
  const unavailable = { kind: 'refused', code: ResultCode.NO_BACKEND_SERVER };
  assert.deepEqual(find('b', 'a'), unavailable);
  assert.deepEqual(find(undefined, 'nobody'), unavailable);
  assert.deepEqual(find('a', 'nobody'), { kind: 'refused', code: ResultCode.UNAUTHENTICATED });
});
