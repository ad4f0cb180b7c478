/** The store entry of a backend server. */
import type * as storeRevision from './store-revision.js';

export type BackendServerEntry = {
  id: string;
  service: string;
  /** IP address and port. */
  address: string;
  failureDomain: string;
  /** Requests that it processes concurrently. */
  slots: number;
  /** It is leaving the service and accepts no new requests. */
  leaving: boolean;
  /** When this incarnation started, milliseconds since the Unix epoch; 0 if unknown. */
  bornMs: number;
  /** When the entry was written; distinguishes it from earlier versions. */
  revision: storeRevision.StoreRevision;
  /**
   * Remaining warm-up time when the entry was read, milliseconds; 0 once it is warm, undefined if
   * unknown.
   */
  warmUpLeftMs: number | undefined;
  /** Version of its software: empty if its entry states none, undefined if unknown. */
  softwareVersion?: string;
};
