/** Computes the digest that identifies request content suspected of crashing backend servers. */
import * as crypto from 'node:crypto';
import type * as callerExchange from './caller-exchange.js';
import * as endToEndHeaders from './end-to-end-headers.js';

/** Length of the digest in hexadecimal digits; 64 bits suffice for the few contents at a time. */
const DIGEST_DIGITS = 16;

/**
 * Computes the digest of workspace, method, host, target and body. Backend servers run a request for
 * its workspace, so the same request of another one is other content.
 */
function computeDigest(
  { method, target, headers, body }: callerExchange.CallerExchange,
  workspace: string,
): string {
  const host = endToEndHeaders.findHeader(headers, 'host')?.toLowerCase();
  const head = JSON.stringify([workspace, method, host, target]);
  const digest = crypto.createHash('sha256').update(`${head}\n`).update(body).digest('hex');
  return digest.slice(0, DIGEST_DIGITS);
}

/** Creates the function that computes the digest of a request's content, once. */
export function createContentHash(
  exchange: callerExchange.CallerExchange,
): (workspace: string) => string {
  let digest: string | undefined;
  return (workspace) => {
    digest ??= computeDigest(exchange, workspace);
    return digest;
  };
}
