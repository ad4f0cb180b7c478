/** Idempotency keys for examples and tests, as a caller's UUID library generates them. */
import * as crypto from 'node:crypto';

const TIME_DIGITS = 12;
const HEXADECIMAL = 16;

/**
 * Generates a UUID of version 7 (RFC 9562).
 *
 * @param now time of issue, milliseconds since the Unix epoch
 */
export function makeKey(now: number): string {
  const time = now.toString(HEXADECIMAL).padStart(TIME_DIGITS, '0');
  // The version digit of the random UUID is replaced; its variant bits stay.
  const random = crypto.randomUUID().slice('00000000-0000-4'.length);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${random}`;
}
