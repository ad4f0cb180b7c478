/** Interface that a platform adapter implements to translate between its store and the gateway. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as schema from '@toucanproxy/schema';
import type * as unknownNames from './unknown-names.js';

/** An item of the store; `value` is undefined if the item was deleted. */
export type StoreItem = {
  key: string;
  value: Buffer | undefined;
  /** Revision at which it was written or deleted, in the epoch of the response that contains it. */
  revision: gateway.StoreRevision;
};

/** One page of a list of items, and the store's revision when the page was read. */
export type StorePage = { items: StoreItem[]; isLast: boolean; revision: gateway.StoreRevision };

/** Items that have changed, up to and including `revision`. */
export type StoreChanges = { items: StoreItem[]; revision: gateway.StoreRevision };

/** The store's epoch as given by the headers of a response. */
export type ParsedEpoch =
  { kind: 'none' } | { kind: 'told'; epoch: number } | { kind: 'unreadable'; text: string };

/** A configuration, with a fault for each number that was replaced by the nearest valid one. */
export type DecodedConfiguration = {
  configuration: gateway.Configuration;
  replaced: schema.Fault[];
};

export type StoreCodec = {
  /** Builds the path that lists the items under a prefix, starting after a key if one is given. */
  buildRangePath: (prefix: string, afterKey: string | undefined) => string;
  /** Builds the path that waits for changes under a prefix after a revision. */
  buildWatchPath: (prefix: string, revision: gateway.StoreRevision, waitMs: number) => string;
  /** Parses the epoch from the headers of a response. */
  parseEpoch: (headers: ReadonlyMap<string, string>) => ParsedEpoch;
  /** Decode a response body of the given epoch; throw if it is malformed. */
  decodePage: (body: string, epoch: number) => StorePage;
  decodeChanges: (body: string, epoch: number) => StoreChanges;
  /** Decodes a configuration; throws if it is invalid. */
  decodeConfiguration: (value: Buffer) => DecodedConfiguration;
  /** Decodes the entry of a backend server, or lists the faults of an item that is not one. */
  decodeBackendServer: (item: StoreItem) => schema.ParseResult<gateway.BackendServerEntry>;
  /** List the keys, fields and headers that the gateway does not know. */
  findUnknownFields: (item: StoreItem) => unknownNames.UnknownName[];
  findUnknownHeaders: (headers: ReadonlyMap<string, string>) => unknownNames.UnknownName[];
  /** Extracts the id of the backend server from the key of its entry. */
  parseServerId: (key: string) => string;
  /** Extracts the failure domain from an evacuation key; it is evacuated while that item exists. */
  parseEvacuatedDomain: (key: string) => string;
};
