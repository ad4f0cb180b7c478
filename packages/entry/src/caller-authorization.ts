/** Authorizes a caller by the active documents before its body is read. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

export type CallerAuthorization =
  { kind: 'granted'; maxBodyBytes: number } | { kind: 'refused'; code: schema.ResultCode };

/** Returns the credential of a token in one document. */
function findCredential(
  document: schema.ServiceDocument | undefined,
  tokenSha256: string,
): schema.Credential | undefined {
  return document && core.getDocumentIndex(document).credentialByToken.get(tokenSha256);
}

/** Returns the workspace of a token; empty if the service does not know the token. */
export function findWorkspace(
  documents: core.DocumentStore,
  service: string,
  tokenSha256: string,
): string {
  return findCredential(documents.get(service)?.document, tokenSha256)?.workspace ?? '';
}

/** Rejects a caller whose token is in none of the documents concerned. */
function rejectUnknown(
  documents: core.DocumentStore,
  services: readonly string[],
  service: string | undefined,
): CallerAuthorization {
  const wanted = service === undefined ? services : services.filter((one) => one === service);
  const awaitsDocument = wanted.some((one) => !documents.has(one));
  if (awaitsDocument) {
    // A newly started entry has no document yet. "Unknown service" would make callers
    // give up, while this code asks them to retry.
    return { kind: 'refused', code: schema.ResultCode.NO_BACKEND_SERVER };
  }
  const isKnown = service === undefined || documents.has(service);
  const { UNAUTHENTICATED, UNKNOWN_SERVICE } = schema.ResultCode;
  return { kind: 'refused', code: isKnown ? UNAUTHENTICATED : UNKNOWN_SERVICE };
}

/**
 * Checks whether a caller may send a request, and returns the limit on its body.
 *
 * @param services the services in this entry's settings
 * @param service undefined if only the body names it; the greatest limit among
 *   the token's services applies then
 */
export function checkAuthorization(
  documents: core.DocumentStore,
  services: readonly string[],
  service: string | undefined,
  tokenSha256: string,
): CallerAuthorization {
  const named = service === undefined ? [...documents.keys()] : [service];
  const limits = named
    .map((name) => documents.get(name)?.document)
    .filter((document) => findCredential(document, tokenSha256) !== undefined)
    .map((document) => schema.getLimits(document).maxBodyBytes);
  return limits.length === 0
    ? rejectUnknown(documents, services, service)
    : { kind: 'granted', maxBodyBytes: Math.max(...limits) };
}
