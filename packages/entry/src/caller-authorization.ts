/** What the documents in force grant a caller before its body is read. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

export type CallerAuthorization =
  { kind: 'granted'; maxBodyBytes: number } | { kind: 'refused'; code: schema.ResultCode };

/** Finds the credential of a token in one document. */
function findCredential(
  document: schema.ServiceDocument | undefined,
  tokenSha256: string,
): schema.Credential | undefined {
  return document && core.getDocumentIndex(document).credentialByToken.get(tokenSha256);
}

/** Finds the workspace of a token; empty where the service does not know it. */
export function findWorkspace(
  documents: core.DocumentStore,
  service: string,
  tokenSha256: string,
): string {
  return findCredential(documents.get(service)?.document, tokenSha256)?.workspace ?? '';
}

/** Refuses a caller whose service, or any service, is not known yet. */
function rejectUnknown(
  documents: core.DocumentStore,
  services: readonly string[],
  service: string | undefined,
): CallerAuthorization {
  const wanted = service === undefined ? services : services.filter((one) => one === service);
  const awaitsDocument = wanted.some((one) => !documents.has(one));
  if (awaitsDocument) {
    // A newly started entry has read no document yet. "Unknown service" would
    // tell callers to give up; this tells them to come back.
    return { kind: 'refused', code: schema.ResultCode.NO_BACKEND_SERVER };
  }
  const isKnown = service === undefined || documents.has(service);
  const { UNAUTHENTICATED, UNKNOWN_SERVICE } = schema.ResultCode;
  return { kind: 'refused', code: isKnown ? UNAUTHENTICATED : UNKNOWN_SERVICE };
}

/**
 * Finds what a caller may send.
 *
 * @param services the services of this entry's settings
 * @param service undefined where only the body names it; the greatest limit of
 *   the token's services holds then
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
