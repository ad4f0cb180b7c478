/** Parses and checks documents that come from the platform or from a peer. */
import type * as bunyan from 'bunyan';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

/**
 * Creates the function that receives the text of a document and posts the parsed document.
 *
 * A document with any fault is refused as a whole and logged with its faults; the active version
 * stays active.
 */
export function createDocumentReceiver(
  log: bunyan,
  post: (event: { kind: 'documentRead'; stored: core.StoredDocument }) => void,
): (json: string) => void {
  return (json) => {
    const parsed = schema.parseDocument(json);
    if (parsed.kind === 'faulty') {
      const code = schema.ResultCode.DOCUMENT_FAULT;
      log.warn({ event: 'document-refused', code, faults: parsed.faults }, 'document-refused');
      return;
    }
    post({ kind: 'documentRead', stored: { document: parsed.value, json } });
  };
}
