/**
 * The service documents in force in this process.
 *
 * A version only goes up. Configuration services, peers and paused processes
 * may all hand over an older document; taking it would bring back revoked
 * credentials and removed backend servers.
 */
import * as schema from '@toucanproxy/schema';
import * as effect from './effect.js';
import * as rendezvous from './rendezvous.js';

/** A checked document with the text it came from, so that peers get the same. */
export type StoredDocument = {
  document: schema.ServiceDocument;
  json: string;
};

/** A document in force. */
export type DocumentInForce = StoredDocument & {
  /** Hash of the content, whatever the layout of the text. */
  contentHash: number;
  /** Hashes of other documents that were seen under the same version. */
  conflicts: Set<number>;
};

export type DocumentStore = Map<string, DocumentInForce>;

/** Hashes what a document says. */
function hashContent(document: schema.ServiceDocument): number {
  return rendezvous.hashText(JSON.stringify(schema.toJson(schema.ServiceDocumentSchema, document)));
}

/** Stores a checked document; false where the version in force is not older. */
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

/** A version that a peer has shown and that this process does not have yet. */
export type NewerVersion = { version: number; firstSeenMs: number; askedMs: number };

/** By service. */
export type NewerVersions = Map<string, NewerVersion>;

/**
 * How long one peer may take to send a document before another is asked,
 * milliseconds. Asking all who show the version would fetch it as often as this
 * process has links.
 */
export const DOCUMENT_REPLY_TIMEOUT_MS = 1000;

/** Notes a newer version that a peer shows; true where that peer is to be asked for it. */
export function noteNewerVersion(
  newer: NewerVersions,
  service: string,
  version: number,
  now: number,
): boolean {
  const known = newer.get(service);
  if (known === undefined || known.version < version) {
    newer.set(service, { version, firstSeenMs: now, askedMs: now });
    return true;
  }
  const due = now - known.askedMs > DOCUMENT_REPLY_TIMEOUT_MS;
  known.askedMs = due ? now : known.askedMs;
  return due;
}

/** Gets the version in force; 0 where there is none. */
export function getVersion(store: DocumentStore, service: string): number {
  return store.get(service)?.document.version ?? 0;
}

/** Describes the document in force for a heartbeat. */
export function describeVersion(store: DocumentStore, service: string): schema.DocumentVersion {
  const version = getVersion(store, service);
  const contentHash = store.get(service)?.contentHash ?? 0;
  return schema.create(schema.DocumentVersionSchema, { service, version, contentHash });
}

/** Describes the documents in force for a status page. */
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
 * Notes a version that a peer or the service has shown, and reports another
 * content under the version in force, once.
 *
 * Two operators may publish different documents under one version. Each process
 * keeps the one that it took first: swapping would revert a configuration that
 * has been accepted. The next version ends the difference.
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

/** Notes the version of a document that was handed over and not taken. */
export function noteRefusedDocument(
  store: DocumentStore,
  candidate: StoredDocument,
): effect.LogEffect[] {
  const { service, version } = candidate.document;
  const contentHash = hashContent(candidate.document);
  const seen = schema.create(schema.DocumentVersionSchema, { service, version, contentHash });
  return noteVersion(store, seen);
}
