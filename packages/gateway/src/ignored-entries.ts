/**
 * Store entries of backend servers that are ignored because they are malformed.
 *
 * A writer may renew a malformed entry with each of its heartbeats, so it is logged only when its
 * faults change.
 */
import * as schema from '@toucanproxy/schema';
import type * as decisionLog from './decision-log.js';

/** Faults by the key of the entry. */
export type IgnoredEntries = Map<string, readonly string[]>;

/** Maximum number of entries that are kept; others are ignored all the same. */
const MAX_ENTRIES = 64;

/** Records that an entry is ignored, and logs it unless that is known. */
export function noteIgnored(
  entries: IgnoredEntries,
  log: decisionLog.DecisionLog,
  key: string,
  faults: readonly schema.Fault[],
  now: number,
): void {
  const texts = faults.map(schema.formatFault);
  const isKnown = entries.get(key)?.join() === texts.join();
  if (isKnown || (!entries.has(key) && entries.size >= MAX_ENTRIES)) {
    return;
  }
  entries.set(key, texts);
  const code = schema.ResultCode.SERVER_ENTRY_FAULT;
  const fields = { key, code, result: schema.ResultCode[code], faults: texts };
  log.write('server-entry-faulty', fields, now);
}

/** Forgets the entries whose keys are not in the store any more. */
export function forgetOthers(entries: IgnoredEntries, keys: ReadonlySet<string>): void {
  [...entries.keys()].filter((key) => !keys.has(key)).forEach((key) => entries.delete(key));
}

/** Lists the ignored entries for operators. */
export function listIgnored(entries: IgnoredEntries): { key: string; faults: readonly string[] }[] {
  return [...entries].map(([key, faults]) => ({ key, faults }));
}
