/** Tells which usage totals of this gateway have changed recently. */

export type UseChanges = Map<string, { used: number; changedMs: number }>;

/** Notes the current totals. */
export function noteUse(
  changes: UseChanges,
  current: readonly { workspace: string; used: number }[],
  now: number,
): void {
  current.forEach(({ workspace, used }) => {
    if (changes.get(workspace)?.used !== used) {
      changes.set(workspace, { used, changedMs: now });
    }
  });
}

/** Lists the totals that have changed since a given time. */
export function listChangedUse<T extends { workspace: string }>(
  changes: UseChanges,
  current: readonly T[],
  sinceMs: number,
): T[] {
  return current.filter(({ workspace }) => (changes.get(workspace)?.changedMs ?? 0) >= sinceMs);
}
