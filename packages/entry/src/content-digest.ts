/** Computes the keyed digest of a request's content, which is the same on every entry. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';

/**
 * The key if the settings name no file. A random key would differ between
 * entries, and a request sent again through another entry would look changed.
 */
const FALLBACK_KEY = 'toucanproxy-content-digest';

export type DigestedContent = {
  workspace: string;
  method: string;
  path: string;
  contentType: string;
  payload: Uint8Array;
};

/** Reads the key that all processes share; throws if the file is empty. */
export function readDigestKey(file: string): string {
  const key = file === '' ? FALLBACK_KEY : fs.readFileSync(file, 'utf8').trim();
  if (key === '') {
    throw new Error(`digestKeyFile ${file} is empty`);
  }
  return key;
}

/** Computes the digest in hexadecimal. */
export function computeDigest(key: string, content: DigestedContent): string {
  const { workspace, method, path, contentType, payload } = content;
  // Encoded as JSON, so that moving a character from one field to the next changes
  // the digest.
  const head = JSON.stringify([workspace, method, path, contentType]);
  return crypto.createHmac('sha256', key).update(`${head}\n`).update(payload).digest('hex');
}
