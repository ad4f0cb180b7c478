/** Computes the digest that identifies request content suspected of crashing backend servers. */
import * as crypto from 'node:crypto';
import type * as callerExchange from './caller-exchange.js';

/** Length of the digest in hexadecimal digits; 64 bits suffice for the few suspects at a time. */
const DIGEST_DIGITS = 16;

/**
 * Computes the digest of method, target and body; the same content from any caller gives the same
 * digest.
 */
export function hashContent({ method, target, body }: callerExchange.CallerExchange): string {
  const head = JSON.stringify([method, target]);
  const digest = crypto.createHash('sha256').update(`${head}\n`).update(body).digest('hex');
  return digest.slice(0, DIGEST_DIGITS);
}
