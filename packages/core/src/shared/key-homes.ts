/**
 * The home agents of a key, worked out from one service document.
 *
 * Processes may run different versions. Each asks the homes of every version
 * since the settled one, so that two processes share at least one home.
 */
import * as schema from '@toucanproxy/schema';
import * as rendezvous from './rendezvous.js';

export type KeyHomes = {
  /** Distinct homes that can be asked, the oldest version first. */
  homes: string[];
  /** Homes that are gone together with what they had bound. */
  lost: string[];
};

type Scored = { server: schema.BackendServer; score: number };

/** Tells whether a backend server belongs to the service at a version. */
function isMember(server: schema.BackendServer, version: number): boolean {
  const gone = server.goneInVersion > 0 && server.goneInVersion <= version;
  return server.addedInVersion <= version && !gone;
}

/** Lists the versions since the settled one at which the members changed. */
function listChangedVersions(document: schema.ServiceDocument): number[] {
  const { version } = document;
  // A version cannot be settled while it is being published. Two documents
  // published under one version would else have no home in common.
  const settledVersion = Math.min(document.settledVersion, Math.max(version - 1, 0));
  const changes = document.backendServers
    .flatMap((server) => [server.addedInVersion, server.goneInVersion])
    .filter((changed) => changed > settledVersion && changed <= version);
  return [...new Set([settledVersion, ...changes])].sort((a, b) => a - b);
}

/** Finds the member with the highest score; equal scores fall back to the id. */
function findWinner(scored: readonly Scored[], version: number): schema.BackendServer | undefined {
  const members = scored.filter((one) => isMember(one.server, version));
  const best = members.reduce<Scored | undefined>((winner, one) => {
    const wins =
      winner === undefined ||
      one.score > winner.score ||
      (one.score === winner.score && one.server.id < winner.server.id);
    return wins ? one : winner;
  }, undefined);
  return best?.server;
}

/** Tells whether a backend server has been declared gone. */
function isGone(server: schema.BackendServer): boolean {
  return server.goneInVersion > 0 || server.state === schema.BackendServerState.GONE;
}

/** Lists the homes of a key of a workspace. */
export function listKeyHomes(
  document: schema.ServiceDocument,
  workspace: string,
  key: string,
): KeyHomes {
  const text = `${workspace}\u0000${key}`;
  const scored = document.backendServers.map((server) => ({
    server,
    score: rendezvous.hashText(`${text}\u0000${server.id}`),
  }));
  const winners = listChangedVersions(document)
    .map((version) => findWinner(scored, version))
    .filter((server) => server !== undefined);
  const distinct = [...new Set(winners)];
  return {
    homes: distinct.filter((server) => !isGone(server)).map((server) => server.id),
    lost: distinct.filter(isGone).map((server) => server.id),
  };
}
