/** The keyed digest of a request's content, the same on every entry. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';

/**
 * Key where the settings name no file. A random one would differ between
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

/** Reads the key that all processes share; throws where the file holds none. */
export function readDigestKey(file: string): string {
  const key = file === '' ? FALLBACK_KEY : fs.readFileSync(file, 'utf8').trim();
  if (key === '') {
    throw new Error(`digestKeyFile ${file} is empty`);
  }
  return key;
}

/** Computes the digest, hexadecimal. */
export function computeDigest(key: string, content: DigestedContent): string {
  const { workspace, method, path, contentType, payload } = content;
  // As JSON, so that moving a character from one field to the next changes it.
  const head = JSON.stringify([workspace, method, path, contentType]);
  return crypto.createHmac('sha256', key).update(`${head}\n`).update(payload).digest('hex');
}
