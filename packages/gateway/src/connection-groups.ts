/** Groups open connections by the address that they lead to. */

export type ConnectionGroups<C> = Map<string, Set<C>>;

/** Adds a connection. */
export function addConnection<C>(
  groups: ConnectionGroups<C>,
  address: string,
  connection: C,
): void {
  const group = groups.get(address) ?? new Set();
  groups.set(address, group.add(connection));
}

/** Removes a connection that is closed or about to be. */
export function removeConnection<C>(
  groups: ConnectionGroups<C>,
  address: string,
  connection: C,
): void {
  const group = groups.get(address);
  group?.delete(connection);
  if (group?.size === 0) {
    groups.delete(address);
  }
}

/** Returns whether there is a connection to an address that fulfils a condition. */
export function hasConnection<C>(
  groups: ConnectionGroups<C>,
  address: string,
  isSought: (connection: C) => boolean,
): boolean {
  return [...(groups.get(address) ?? [])].some(isSought);
}
