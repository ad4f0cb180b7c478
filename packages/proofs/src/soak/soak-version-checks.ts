/** Checks that streams of the soak test keep to the software version that began them. */
import * as soakRecords from './soak-records.js';

export type VersionViolation = { guarantee: string; detail: string };

/** Checks that the events of a stream, over all calls that resume it, have one software version. */
export function checkVersions({ calls }: soakRecords.SoakRecords): VersionViolation[] {
  const versionsById = new Map<string, Set<string>>();
  calls
    .filter(({ kind }) => kind === soakRecords.CallKind.RESUMABLE)
    .forEach(({ id, resumes, response }) => {
      const first = resumes?.id ?? id;
      const known = versionsById.get(first) ?? new Set();
      soakRecords.listVersions(response?.body ?? '').forEach((version) => known.add(version));
      versionsById.set(first, known);
    });
  return [...versionsById]
    .filter(([, versions]) => versions.size > 1)
    .map(([id, versions]) => ({
      guarantee: 'one version per stream',
      detail: JSON.stringify({ id, versions: [...versions] }),
    }));
}
