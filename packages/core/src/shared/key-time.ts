/** Parses the issue times of idempotency keys. */

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEXADECIMAL = 16;

/**
 * Parses the issue time of a key, milliseconds since the Unix epoch; 0 if the key has none. Only a
 * UUID of version 7 (RFC 9562) contains one.
 */
export function parseKeyIssueTime(key: string): number {
  const match = UUID_V7.exec(key);
  return match === null ? 0 : Number.parseInt(`${match[1]}${match[2]}`, HEXADECIMAL);
}
