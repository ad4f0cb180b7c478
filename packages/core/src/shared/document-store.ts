/**
 * The service documents in force in this process.
 *
 * A version only goes up. Configuration services, peers and paused processes
 * may all hand over an older document; taking it would bring back revoked
 * credentials and removed backend servers.
 */
import * as schema from '@toucanproxy/schema';

/** A document in force with the text it came from, so that peers get the same. */
export type StoredDocument = {
  document: schema.ServiceDocument;
  json: string;
};

export type DocumentStore = Map<string, StoredDocument>;

/** Stores a checked document; false where the version in force is not older. */
export function storeDocument(store: DocumentStore, candidate: StoredDocument): boolean {
  const current = store.get(candidate.document.service);
  if (current !== undefined && current.document.version >= candidate.document.version) {
    return false;
  }
  store.set(candidate.document.service, candidate);
  return true;
}

/** Gets the version in force; 0 where there is none. */
export function getVersion(store: DocumentStore, service: string): number {
  return store.get(service)?.document.version ?? 0;
}
