/** Names the content of a request, so that one that crashes engines is known again. */
import * as xxhash from 'xxhash-wasm';
import type * as callerExchange from './caller-exchange.js';

const hasher = await xxhash.default();
const HEX = 16;

/**
 * Computes the digest of what a crash would be blamed on.
 *
 * The attempt's id is not part of it: a caller that sends again has a new one.
 */
export function computeContentDigest(
  credential: string,
  { method, target, body }: callerExchange.CallerExchange,
): string {
  const seed = hasher.h64(`${credential} ${method} ${target}`);
  return hasher.h64Raw(body, seed).toString(HEX);
}
