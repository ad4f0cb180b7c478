/**
 * Stores the active service documents of this process.
 *
 * The active version never decreases. Configuration services, peers and processes that were paused
 * may all supply an older document; accepting it would restore revoked credentials and removed
 * backend servers.
 */
import * as schema from '@toucanproxy/schema';
import * as effect from './effect.js';
import * as rendezvous from './rendezvous.js';

/** A validated document with its original text, which is passed on to peers unchanged. */
export type StoredDocument = {
  document: schema.ServiceDocument;
  json: string;
};

/** An active document. */
export type ActiveDocument = StoredDocument & {
  /** Hash of the content; independent of the formatting of the text. */
  contentHash: number;
  /** Content hashes of other documents that were seen with the same version. */
  conflicts: Set<number>;
};

/** Active documents by service. */
export type DocumentStore = Map<string, ActiveDocument>;

/** Hashes the content of a document. */
function hashContent(document: schema.ServiceDocument): number {
  return rendezvous.hashText(JSON.stringify(schema.toJson(schema.ServiceDocumentSchema, document)));
}

/** Stores a validated document; returns false if the active version is not older. */
export function storeDocument(store: DocumentStore, candidate: StoredDocument): boolean {
  const { document } = candidate;
  const current = store.get(document.service);
  if (current !== undefined && current.document.version >= document.version) {
    return false;
  }
  const contentHash = hashContent(document);
  store.set(document.service, { ...candidate, contentHash, conflicts: new Set() });
  return true;
}

/** A version that a peer has announced and this process does not have yet. */
export type NewerVersion = {
  version: number;
  /** When a peer first announced the version, milliseconds. */
  firstSeenMs: number;
  /** When a peer was last asked for the document, milliseconds. */
  requestedMs: number;
};

/** Newer versions by service. */
export type NewerVersions = Map<string, NewerVersion>;

/**
 * Time after which another peer is asked for a document, milliseconds. If all peers that announce
 * the version were asked at once, the document would be fetched once per link.
 */
export const DOCUMENT_REPLY_TIMEOUT_MS = 1000;

/** Records a newer version that a peer announces; returns whether to ask that peer for it. */
export function noteNewerVersion(
  newer: NewerVersions,
  service: string,
  version: number,
  now: number,
): boolean {
  const known = newer.get(service);
  if (known === undefined || known.version < version) {
    newer.set(service, { version, firstSeenMs: now, requestedMs: now });
    return true;
  }
  const due = now - known.requestedMs > DOCUMENT_REPLY_TIMEOUT_MS;
  known.requestedMs = due ? now : known.requestedMs;
  return due;
}

/** Returns the active version of a service; 0 if there is none. */
export function getVersion(store: DocumentStore, service: string): number {
  return store.get(service)?.document.version ?? 0;
}

/** Describes the active document of a service for a heartbeat. */
export function describeVersion(store: DocumentStore, service: string): schema.DocumentVersion {
  const version = getVersion(store, service);
  const contentHash = store.get(service)?.contentHash ?? 0;
  return schema.create(schema.DocumentVersionSchema, { service, version, contentHash });
}

/** Describes all active documents for a status page. */
export function describeDocuments(store: DocumentStore): unknown[] {
  return [...store.values()].map(({ document, contentHash, conflicts }) => ({
    service: document.service,
    version: document.version,
    settledVersion: document.settledVersion,
    contentHash,
    conflictingHashes: [...conflicts],
  }));
}

/**
 * Compares a version announced by a peer or the configuration service with the active one. Logs a
 * conflict, once per content, if the version is the same but the content differs.
 *
 * Two operators may publish different documents with the same version. Each process keeps the one
 * that it received first, because replacing it would revert a configuration that was accepted. The
 * next version resolves the conflict.
 */
export function noteVersion(
  store: DocumentStore,
  seen: schema.DocumentVersion | undefined,
): effect.LogEffect[] {
  const current = store.get(seen?.service ?? '');
  if (seen === undefined || current === undefined || seen.contentHash === 0) {
    return [];
  }
  const { document, contentHash, conflicts } = current;
  const differs = seen.version === document.version && seen.contentHash !== contentHash;
  if (!differs || conflicts.has(seen.contentHash)) {
    return [];
  }
  conflicts.add(seen.contentHash);
  const fields = {
    service: seen.service,
    version: seen.version,
    contentHash,
    otherHash: seen.contentHash,
    code: schema.ResultCode.VERSION_NOT_NEWER,
  };
  return [{ kind: 'log', level: schema.LogLevel.WARN, event: 'document-conflict', fields }];
}

/** Checks a document that was received but not stored for a version conflict. */
export function noteRefusedDocument(
  store: DocumentStore,
  candidate: StoredDocument,
): effect.LogEffect[] {
  const { service, version } = candidate.document;
  const contentHash = hashContent(candidate.document);
  const seen = schema.create(schema.DocumentVersionSchema, { service, version, contentHash });
  return noteVersion(store, seen);
}
