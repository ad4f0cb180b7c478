/** The configuration service and the list of leaving VMs under a virtual clock. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

export type VirtualPlatform = {
  /** Published documents, the newest last. */
  published: core.StoredDocument[];
  /** Reads are not answered before this time, milliseconds. */
  unavailableUntilMs: number;
  /** Before this time, reads return the oldest document, milliseconds. */
  staleUntilMs: number;
  leavingAddresses: string[];
};

/** Creates a platform that has published nothing. */
export function createVirtualPlatform(): VirtualPlatform {
  return { published: [], unavailableUntilMs: 0, staleUntilMs: 0, leavingAddresses: [] };
}

/** Parses a document; throws if it is faulty. */
export function readDocument(json: string): core.StoredDocument {
  const parsed = schema.parseDocument(json);
  if (parsed.kind === 'faulty') {
    throw new Error(`faulty document: ${JSON.stringify(parsed.faults)}`);
  }
  return { document: parsed.value, json };
}

/** Publishes a document. */
export function publishDocument(platform: VirtualPlatform, data: Record<string, unknown>): void {
  platform.published.push(readDocument(JSON.stringify(data)));
}

/** Returns the document that a read for a service gets now; undefined during an outage. */
export function fetchDocument(
  platform: VirtualPlatform,
  service: string,
  now: number,
): core.StoredDocument | undefined {
  if (now < platform.unavailableUntilMs) {
    return undefined;
  }
  const own = platform.published.filter((stored) => stored.document.service === service);
  return now < platform.staleUntilMs ? own[0] : own.at(-1);
}
