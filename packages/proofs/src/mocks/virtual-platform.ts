/** The configuration service and the list of VMs under a virtual clock; both can only be read. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

export type VirtualPlatform = {
  /** Published documents, the newest last. */
  published: core.StoredDocument[];
  /** No call is answered before this time, milliseconds. */
  unavailableUntilMs: number;
  /** Calls are answered with the oldest document before this time, milliseconds. */
  staleUntilMs: number;
  leavingAddresses: string[];
};

/** Creates a platform that has published nothing. */
export function createVirtualPlatform(): VirtualPlatform {
  return { published: [], unavailableUntilMs: 0, staleUntilMs: 0, leavingAddresses: [] };
}

/** Reads a document from its text; throws where it is faulty. */
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

/** Reads the document that a call for a service is answered with now. */
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
