/**
 * Failure domains that operators have evacuated: they receive no new requests.
 *
 * Each change carries the store revision at which it was made. An older change that is read
 * late, from a paged list or after the store's history was compacted, is ignored.
 */
import * as storeRevision from '../shared/store-revision.js';

type Evacuation = {
  isEvacuated: boolean;
  /** Store revision of the last change. */
  revision: storeRevision.StoreRevision;
  /** When that change was read, in milliseconds. */
  changedMs: number;
  /** The evacuation ends at this time unless it is read again, in milliseconds. */
  heldUntilMs: number;
};

export type Evacuations = { byDomain: Map<string, Evacuation> };

/** The start or end of an evacuation; also logged. */
export type EvacuationChange = {
  failureDomain: string;
  isEvacuated: boolean;
  revision: storeRevision.StoreRevision;
};

/** When a failure domain was returned to service, and at which store revision. */
export type DomainReturn = { atMs: number; revision: storeRevision.StoreRevision };

/**
 * How long an evacuation stays active if it is missing from a store restored from an older backup,
 * in milliseconds. Operators write lost evacuations again within this time.
 */
const RESTORED_HOLD_MS = 6000;

/** Creates an empty set of evacuations. */
export function createEvacuations(): Evacuations {
  return { byDomain: new Map() };
}

/** Applies one change; returns it if it took effect. */
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
 * Lists the changes that end evacuations which a complete list no longer contains.
 *
 * @param revision store revision at which, or after which, the list was read
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

/** Holds evacuations for a time if they are missing from a store restored from a backup. */
export function holdUnlisted(
  { byDomain }: Evacuations,
  listed: readonly EvacuationChange[],
  now: number,
): void {
  const listedDomains = new Set(listed.map(({ failureDomain }) => failureDomain));
  byDomain.forEach((known, failureDomain) => {
    if (known.isEvacuated && !listedDomains.has(failureDomain)) {
      known.heldUntilMs = now + RESTORED_HOLD_MS;
    }
  });
}

/** Lists the changes that end evacuations whose hold time is over. */
export function listExpired(
  { byDomain }: Evacuations,
  revision: storeRevision.StoreRevision,
  now: number,
): EvacuationChange[] {
  return [...byDomain]
    .filter(([, { isEvacuated: isActive, heldUntilMs }]) => isActive && now >= heldUntilMs)
    .map(([failureDomain]) => ({ failureDomain, isEvacuated: false, revision }));
}

/** Returns whether a failure domain is evacuated. */
export function isEvacuated({ byDomain }: Evacuations, failureDomain: string): boolean {
  return byDomain.get(failureDomain)?.isEvacuated === true;
}

/**
 * Finds when a failure domain was returned to service; undefined if it never was evacuated or
 * still is.
 */
export function findDomainReturn(
  { byDomain }: Evacuations,
  failureDomain: string,
): DomainReturn | undefined {
  const known = byDomain.get(failureDomain);
  return known === undefined || known.isEvacuated
    ? undefined
    : { atMs: known.changedMs, revision: known.revision };
}

/** Returns whether any failure domain is evacuated. */
export function hasEvacuations({ byDomain }: Evacuations): boolean {
  return [...byDomain.values()].some((one) => one.isEvacuated);
}

/** Lists the failure domains that are evacuated. */
export function listEvacuated({ byDomain }: Evacuations): string[] {
  return [...byDomain].filter(([, one]) => one.isEvacuated).map(([failureDomain]) => failureDomain);
}
