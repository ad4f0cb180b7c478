/**
 * Computes the home agents of an idempotency key from a service document.
 *
 * Processes may have different versions of the document. Each of them asks the homes of all
 * versions since the settled one, so that any two processes have at least one home in common.
 */
import * as schema from '@toucanproxy/schema';
import * as rendezvous from './rendezvous.js';

export type KeyHomes = {
  /** Distinct homes that can be asked, those of the oldest version first. */
  homes: string[];
  /** Homes that are gone, together with the bindings that they held. */
  lost: string[];
};

type ScoredServer = { server: schema.BackendServer; score: number };

/** Reports whether a backend server is a member of the service in a version. */
function isMember(server: schema.BackendServer, version: number): boolean {
  const gone = server.goneInVersion > 0 && server.goneInVersion <= version;
  return server.addedInVersion <= version && !gone;
}

/** Lists the settled version and the later ones in which the members changed. */
function listChangedVersions(document: schema.ServiceDocument): number[] {
  const { version } = document;
  // A version cannot be settled while it is being published. Otherwise two documents published with
  // the same version would have no home in common.
  const settledVersion = Math.min(document.settledVersion, Math.max(version - 1, 0));
  const changes = document.backendServers
    .flatMap((server) => [server.addedInVersion, server.goneInVersion])
    .filter((changed) => changed > settledVersion && changed <= version);
  return [...new Set([settledVersion, ...changes])].sort((a, b) => a - b);
}

/** Finds the member with the highest score; for equal scores, the lowest id wins. */
function findWinner(
  scored: readonly ScoredServer[],
  version: number,
): schema.BackendServer | undefined {
  const members = scored.filter((one) => isMember(one.server, version));
  const best = members.reduce<ScoredServer | undefined>((winner, one) => {
    const wins =
      winner === undefined ||
      one.score > winner.score ||
      (one.score === winner.score && one.server.id < winner.server.id);
    return wins ? one : winner;
  }, undefined);
  return best?.server;
}

/** Reports whether a backend server was declared gone. */
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
