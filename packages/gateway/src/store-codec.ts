/** What the adapter of a platform translates between its store and this product. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as unknownNames from './unknown-names.js';

/** An item of the store; `value` is undefined where it was deleted. */
export type StoreItem = {
  key: string;
  value: Buffer | undefined;
  /** When it was written or deleted, in the epoch of the answer that tells it. */
  revision: gateway.StoreRevision;
};

/** Some items, and the store's revision at that time. */
export type StorePage = { items: StoreItem[]; isLast: boolean; revision: gateway.StoreRevision };

/** What has changed up to a revision. */
export type StoreChanges = { items: StoreItem[]; revision: gateway.StoreRevision };

/** What an answer says of the store's epoch. */
export type ParsedEpoch =
  { kind: 'none' } | { kind: 'told'; epoch: number } | { kind: 'unreadable'; text: string };

export type StoreCodec = {
  /** Path of a call for the items under a prefix, after a key where there is one. */
  buildRangePath: (prefix: string, afterKey: string | undefined) => string;
  /** Path of a call that waits for changes under a prefix after a revision. */
  buildWatchPath: (prefix: string, revision: gateway.StoreRevision, waitMs: number) => string;
  /** Reads the epoch from the headers of an answer. */
  parseEpoch: (headers: ReadonlyMap<string, string>) => ParsedEpoch;
  /** Reads answers of an epoch; throws where they are not of the expected form. */
  decodePage: (body: string, epoch: number) => StorePage;
  decodeChanges: (body: string, epoch: number) => StoreChanges;
  /** Reads a configuration; throws where it is faulty. */
  decodeConfiguration: (value: Buffer) => gateway.Configuration;
  /** Reads the entry of a backend server; undefined where it names none. */
  decodeBackendServer: (item: StoreItem) => gateway.BackendServerEntry | undefined;
  /** Lists what this product does not know: of an item, and of the headers of an answer. */
  findUnknownFields: (item: StoreItem) => unknownNames.UnknownName[];
  findUnknownHeaders: (headers: ReadonlyMap<string, string>) => unknownNames.UnknownName[];
  /** Id of the backend server that a key belongs to. */
  parseServerId: (key: string) => string;
  /** Failure domain that is evacuated while there is an item under a key. */
  parseEvacuatedDomain: (key: string) => string;
};
