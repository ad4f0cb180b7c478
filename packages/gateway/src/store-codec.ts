/** What the adapter of a platform translates between its store and this product. */
import type * as gateway from '@toucanproxy/core/gateway';

/** An item of the store; `value` is undefined where it was deleted. */
export type StoreItem = {
  key: string;
  value: Buffer | undefined;
  /** When it was written or deleted, in the era of the answer that tells it. */
  revision: gateway.StoreRevision;
};

/** Some items, and the store's revision at that time. */
export type StorePage = { items: StoreItem[]; isLast: boolean; revision: gateway.StoreRevision };

/** What has changed up to a revision. */
export type StoreChanges = { items: StoreItem[]; revision: gateway.StoreRevision };

/** What an answer says of the store's era. */
export type AnswerEra =
  { kind: 'none' } | { kind: 'told'; era: number } | { kind: 'unreadable'; text: string };

export type StoreCodec = {
  /** Path of a call for the items under a prefix, after a key where there is one. */
  buildRangePath: (prefix: string, afterKey: string | undefined) => string;
  /** Path of a call that waits for changes under a prefix after a revision. */
  buildWatchPath: (prefix: string, revision: gateway.StoreRevision, waitMs: number) => string;
  /** Reads the era from the headers of an answer. */
  parseEra: (headers: ReadonlyMap<string, string>) => AnswerEra;
  /** Reads answers of an era; throws where they are not of the expected form. */
  decodePage: (body: string, era: number) => StorePage;
  decodeChanges: (body: string, era: number) => StoreChanges;
  /** Reads a configuration; throws where it is faulty. */
  decodeConfiguration: (value: Buffer) => gateway.Configuration;
  /** Reads the entry of a backend server; undefined where it names none. */
  decodeBackendServer: (item: StoreItem) => gateway.BackendServerEntry | undefined;
  /** Id of the backend server that a key belongs to. */
  parseServerId: (key: string) => string;
  /** Failure domain that is evacuated while there is an item under a key. */
  parseEvacuatedDomain: (key: string) => string;
};
