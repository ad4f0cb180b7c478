/**
 * Shares of workspaces within a rank of a queue.
 *
 * Load addressed: workspaces of one urgency together request more than their engines serve. Each
 * is served in proportion to the quota that its configuration declares.
 */

/** Share of a workspace that declares no quota, and of a request that carries none. */
export const DEFAULT_SHARE = 1;
/**
 * Bounds of a share. A workspace with a very small quota still gets a quarter of the usual share,
 * so that it does not starve, and one with a very large quota does not displace all others.
 */
const MIN_SHARE = 0.25;
const MAX_SHARE = 4;

/** A declared quota; quotas of different units are not comparable. */
export type DeclaredQuota = { workspace: string; unit: string; perSecond: number };

/** Returns a share within its bounds; the default if there is none or it is not a number. */
export function readShare(share: number | undefined): number {
  return share === undefined || !(share > 0)
    ? DEFAULT_SHARE
    : Math.min(Math.max(share, MIN_SHARE), MAX_SHARE);
}

/** Computes the shares of workspaces whose quotas have the same unit. */
function computeUnitShares(quotas: readonly DeclaredQuota[]): [string, number][] {
  const mean = quotas.reduce((sum, { perSecond }) => sum + perSecond, 0) / quotas.length;
  const isEqual = quotas.every(({ perSecond }) => perSecond === quotas[0].perSecond);
  return quotas.map(({ workspace, perSecond }) => [
    workspace,
    isEqual ? DEFAULT_SHARE : readShare(perSecond / mean),
  ]);
}

/**
 * Computes the shares of workspaces from their declared quotas, relative to the mean of those with
 * the same unit. Contains only the shares that differ from the default.
 *
 * If all quotas are equal, the shares are exactly the default: the rounding error of the mean
 * would distinguish their workspaces from those without a quota.
 */
export function computeShares(quotas: readonly DeclaredQuota[]): Map<string, number> {
  const byUnit = new Map<string, DeclaredQuota[]>();
  quotas
    .filter(({ perSecond }) => perSecond > 0 && Number.isFinite(perSecond))
    .forEach((quota) => {
      const sameUnit = byUnit.get(quota.unit) ?? [];
      sameUnit.push(quota);
      byUnit.set(quota.unit, sameUnit);
    });
  const shares = [...byUnit.values()].flatMap((sameUnit) => computeUnitShares(sameUnit));
  return new Map(shares.filter(([, share]) => share !== DEFAULT_SHARE));
}
