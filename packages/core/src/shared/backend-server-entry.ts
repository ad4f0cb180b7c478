/** What the store tells of one backend server. */
import type * as storeRevision from './store-revision.js';

export type BackendServerEntry = {
  id: string;
  service: string;
  /** IP address and port. */
  address: string;
  failureDomain: string;
  /** Requests that it works on at once. */
  slots: number;
  /** Takes no new work. */
  leaving: boolean;
  /** Start of this life, milliseconds since the Unix epoch; 0 where it is not told. */
  bornMs: number;
  /** When this was written; tells it from what came before. */
  revision: storeRevision.StoreRevision;
  /**
   * Time for which it warms up from the reading on, milliseconds; 0 once it is warm,
   * undefined where it is not told.
   */
  warmUpLeftMs: number | undefined;
};
