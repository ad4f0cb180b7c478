/** What the adapter of a platform translates between its store and this product. */
import type * as gateway from '@toucanproxy/core/gateway';

/** An item of the store; `value` is undefined where it was deleted. */
export type StoreItem = {
  key: string;
  value: Buffer | undefined;
  /** Revision of the store at which it was written or deleted. */
  revision: number;
};

/** Some items, and the store's revision at that time. */
export type StorePage = { items: StoreItem[]; isLast: boolean; revision: number };

/** What has changed up to a revision. */
export type StoreChanges = { items: StoreItem[]; revision: number };

export type StoreCodec = {
  /** Path of a call for the items under a prefix, after a key where there is one. */
  buildRangePath: (prefix: string, afterKey: string | undefined) => string;
  /** Path of a call that waits for changes under a prefix after a revision. */
  buildWatchPath: (prefix: string, revision: number, waitMs: number) => string;
  /** Reads answers; throws where they are not of the expected form. */
  decodePage: (body: string) => StorePage;
  decodeChanges: (body: string) => StoreChanges;
  /** Reads a configuration; throws where it is faulty. */
  decodeConfiguration: (value: Buffer) => gateway.Configuration;
  /** Reads the entry of a backend server; undefined where it names none. */
  decodeBackendServer: (item: StoreItem) => gateway.BackendServerEntry | undefined;
  /** Id of the backend server that a key belongs to. */
  parseServerId: (key: string) => string;
  /** Failure domain that is evacuated while there is an item under a key. */
  parseEvacuatedDomain: (key: string) => string;
};
