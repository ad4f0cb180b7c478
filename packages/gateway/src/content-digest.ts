/** The digest by which content is told apart that crashes backend servers. */
import * as crypto from 'node:crypto';
import type * as callerExchange from './caller-exchange.js';

/** Digits that are kept; 64 bits are enough among the few suspects at a time. */
const DIGITS = 16;

/** Computes the digest of what a caller asks for, whoever asks. */
export function hashContent({ method, target, body }: callerExchange.CallerExchange): string {
  const head = JSON.stringify([method, target]);
  const digest = crypto.createHash('sha256').update(`${head}\n`).update(body).digest('hex');
  return digest.slice(0, DIGITS);
}
