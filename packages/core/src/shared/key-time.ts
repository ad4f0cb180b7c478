/** Issue times that keys carry. */

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEXADECIMAL = 16;

/**
 * Reads when a key was issued, milliseconds since the Unix epoch; 0 where the
 * key does not say. Only a UUID of version 7 (RFC 9562) does.
 */
export function parseKeyIssueTime(key: string): number {
  const match = UUID_V7.exec(key);
  return match === null ? 0 : Number.parseInt(`${match[1]}${match[2]}`, HEXADECIMAL);
}
