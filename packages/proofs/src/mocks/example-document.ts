/** Builds small service documents for tests. */
import * as crypto from 'node:crypto';

export type TestAgent = { id: string; address: string };

/** Hashes a bearer token the way documents store it. */
export function hashToken(token: string): string {
  return crypto.createHash('sha256').update(token).digest('hex');
}

/** Builds a document with two workspaces and two tiers, as data for JSON. */
export function buildDocument(
  service: string,
  version: number,
  agents: TestAgent[],
  overrides: Record<string, unknown> = {},
): Record<string, unknown> {
  return {
    service,
    version,
    kind: 'SERVICE_KIND_MODEL',
    tiers: ['stall', 'draft'],
    routes: [
      { pathPrefix: '/v1/chat/completions', repeat: 'REPEAT_ONCE' },
      { pathPrefix: '/v1/completions', repeat: 'REPEAT_ALLOWED' },
    ],
    workspaces: [{ name: 'brim' }, { name: 'band' }],
    credentials: [
      { tokenSha256: hashToken('brim-stall'), workspace: 'brim', tier: 'stall' },
      { tokenSha256: hashToken('band-draft'), workspace: 'band', tier: 'draft' },
    ],
    backendServers: agents.map((agent) => ({
      id: agent.id,
      address: agent.address,
      failureDomain: 'suva-loft',
      addedInVersion: 1,
    })),
    ...overrides,
  };
}
