/**
 * Which failure domains operators have had evacuated: nothing new is sent there.
 *
 * Each change carries the revision of the store at which it was made. An older one that
 * is read late, from a list of several pages or after a lost history, changes nothing.
 */
import * as storeRevision from '../shared/store-revision.js';

type Evacuation = {
  isEvacuated: boolean;
  /** Revision of the last change. */
  revision: storeRevision.StoreRevision;
  /** When that change was read, milliseconds. */
  changedMs: number;
  /** Ends at this time unless it is told again, milliseconds. */
  heldUntilMs: number;
};

export type Evacuations = { byDomain: Map<string, Evacuation> };

/** A change of what is evacuated, for the log. */
export type EvacuationChange = {
  failureDomain: string;
  isEvacuated: boolean;
  revision: storeRevision.StoreRevision;
};

/** When a failure domain was taken back into use, and at which revision of the store. */
export type DomainReturn = { atMs: number; revision: storeRevision.StoreRevision };

/**
 * A store that has been restored from an older backup may not tell of an evacuation any more. It
 * is held for this time, milliseconds, in which operators write again what was lost.
 */
const HELD_MS = 6000;

/** Creates evacuations of nothing. */
export function createEvacuations(): Evacuations {
  return { byDomain: new Map() };
}

/** Takes in one change; gives it where it is news. */
export function applyEvacuation(
  { byDomain }: Evacuations,
  change: EvacuationChange,
  now: number,
): EvacuationChange | undefined {
  const { failureDomain, revision } = change;
  const known = byDomain.get(failureDomain);
  if (known !== undefined && storeRevision.isLater(known.revision, revision)) {
    return undefined;
  }
  if ((known?.isEvacuated ?? false) !== change.isEvacuated) {
    byDomain.set(failureDomain, {
      isEvacuated: change.isEvacuated,
      revision,
      changedMs: now,
      heldUntilMs: Infinity,
    });
    return change;
  }
  if (known !== undefined) {
    known.revision = revision;
    known.heldUntilMs = Infinity;
  }
  return undefined;
}

/**
 * Lists the ends of evacuations that a list of all of them does not name.
 *
 * @param revision of the store, at which or after which the list was made
 */
export function listEnded(
  { byDomain }: Evacuations,
  listed: readonly EvacuationChange[],
  revision: storeRevision.StoreRevision,
): EvacuationChange[] {
  const evacuated = new Set(listed.map(({ failureDomain }) => failureDomain));
  return [...byDomain.keys()]
    .filter((failureDomain) => !evacuated.has(failureDomain))
    .map((failureDomain) => ({ failureDomain, isEvacuated: false, revision }));
}

/** Holds evacuations that a store which has been restored from an older backup does not tell of. */
export function holdUntold(
  { byDomain }: Evacuations,
  listed: readonly EvacuationChange[],
  now: number,
): void {
  const told = new Set(listed.map(({ failureDomain }) => failureDomain));
  byDomain.forEach((known, failureDomain) => {
    if (known.isEvacuated && !told.has(failureDomain)) {
      known.heldUntilMs = now + HELD_MS;
    }
  });
}

/** Lists the ends of evacuations that were held and not told again in time. */
export function listExpired(
  { byDomain }: Evacuations,
  revision: storeRevision.StoreRevision,
  now: number,
): EvacuationChange[] {
  return [...byDomain]
    .filter(([, { isEvacuated: isHeld, heldUntilMs }]) => isHeld && now >= heldUntilMs)
    .map(([failureDomain]) => ({ failureDomain, isEvacuated: false, revision }));
}

/** Tells whether nothing new may be sent to a failure domain. */
export function isEvacuated({ byDomain }: Evacuations, failureDomain: string): boolean {
  return byDomain.get(failureDomain)?.isEvacuated === true;
}

/** Finds when a failure domain was taken back; undefined where it was not evacuated. */
export function findReturn(
  { byDomain }: Evacuations,
  failureDomain: string,
): DomainReturn | undefined {
  const known = byDomain.get(failureDomain);
  return known === undefined || known.isEvacuated
    ? undefined
    : { atMs: known.changedMs, revision: known.revision };
}

/** Tells whether any failure domain is evacuated. */
export function isAnyEvacuated({ byDomain }: Evacuations): boolean {
  return [...byDomain.values()].some((one) => one.isEvacuated);
}

/** Lists the failure domains that are evacuated. */
export function listEvacuated({ byDomain }: Evacuations): string[] {
  return [...byDomain].filter(([, one]) => one.isEvacuated).map(([failureDomain]) => failureDomain);
}
