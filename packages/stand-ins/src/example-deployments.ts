/** The two worked examples: their services, tiers, workspaces and tokens. */
import * as crypto from 'node:crypto';

export enum EngineKind {
  MODEL = 'model',
  PLAIN = 'plain',
}

export type ExampleService = {
  name: string;
  engineKind: EngineKind;
  /** Number of backend servers in the full deployment. */
  runners: number;
  /** Tier names, the most urgent first. */
  tiers: string[];
  routes: { pathPrefix: string; repeat: string }[];
  /** Workspace and tier by token. */
  tokens: Record<string, [workspace: string, tier: string]>;
  /** Example requests: title, token and the arguments of curl. */
  calls: [title: string, token: string, args: string][];
};

export type ExampleDeployment = { failureDomains: string[]; services: ExampleService[] };

const ONCE = 'REPEAT_ONCE';
const ALLOWED = 'REPEAT_ALLOWED';
const MODEL_ROUTES = [
  { pathPrefix: '/v1/chat/completions', repeat: ONCE },
  { pathPrefix: '/v1/completions', repeat: ALLOWED },
];

/** Builds the curl arguments of a chat completion. */
function buildChatArguments(model: string, content: string, extra: object = {}): string {
  const body = { model, messages: [{ role: 'user', content }], max_tokens: 12, ...extra };
  return `-H 'content-type: application/json' -d '${JSON.stringify(body)}' URL/v1/chat/completions`;
}

export const EXAMPLE_DEPLOYMENTS: Record<string, ExampleDeployment> = {
  quebrada: {
    failureDomains: ['rimac', 'ate', 'comas', 'chorrillos'],
    services: [
      {
        name: 'modelo-triaje',
        engineKind: EngineKind.MODEL,
        runners: 6,
        tiers: ['dispatch-desk', 'inspector', 'drafts'],
        routes: MODEL_ROUTES,
        tokens: {
          'triaje-desk': ['rimac-cleaning', 'dispatch-desk'],
          'triaje-inspector': ['comas-district', 'inspector'],
          'triaje-drafts': ['citizen-replies', 'drafts'],
        },
        calls: [
          ['a report', 'triaje-desk', buildChatArguments('modelo-triaje', 'Rubble at the corner')],
          [
            'a streamed draft',
            'triaje-drafts',
            `-N ${buildChatArguments('modelo-triaje', 'Thank you for your report', { stream: true })}`,
          ],
        ],
      },
      {
        name: 'app-vecinal',
        engineKind: EngineKind.MODEL,
        runners: 4,
        tiers: ['neighbour', 'statistics'],
        routes: MODEL_ROUTES,
        tokens: {
          'vecinal-app': ['neighbourhood-app', 'neighbour'],
          'vecinal-statistics': ['city-statistics', 'statistics'],
        },
        calls: [
          [
            'a question',
            'vecinal-app',
            buildChatArguments('app-vecinal', 'When does the truck come'),
          ],
        ],
      },
    ],
  },
  cooperative: {
    failureDomains: ['suva-loft', 'nausori-shed', 'lautoka-hall', 'nadi-store'],
    services: [
      {
        name: 'brimwit',
        engineKind: EngineKind.MODEL,
        runners: 13,
        tiers: ['stall', 'buyer', 'draft'],
        routes: MODEL_ROUTES,
        tokens: {
          'brim-stall': ['suva-hats', 'stall'],
          'brim-buyer': ['nadi-brims', 'buyer'],
          'brim-draft': ['lautoka-bands', 'draft'],
        },
        calls: [
          [
            'a stall answer',
            'brim-stall',
            buildChatArguments('brimwit', 'Which trim for this straw'),
          ],
          [
            'a streamed pattern draft',
            'brim-draft',
            `-N ${buildChatArguments('brimwit', 'A wide brim', { stream: true })}`,
          ],
        ],
      },
      {
        name: 'ledgerhat',
        engineKind: EngineKind.PLAIN,
        runners: 4,
        tiers: ['stall', 'buyer'],
        routes: [
          { pathPrefix: '/stock', repeat: ALLOWED },
          { pathPrefix: '/order-tags', repeat: ONCE },
        ],
        tokens: {
          'ledger-stall': ['suva-hats', 'stall'],
          'ledger-buyer': ['nadi-brims', 'buyer'],
        },
        calls: [
          [
            'an order tag, at most once under its key',
            'ledger-buyer',
            `-H 'idempotency-key: KEY' -H 'content-type: text/plain' -d 'tag 17' URL/services/ledgerhat/order-tags`,
          ],
        ],
      },
    ],
  },
};

/** Small, as all processes of an example read the same clock. */
export const CLOCK_SKEW_MS = 50;

export type ExampleServer = { id: string; address: string; failureDomain: string };

/** Builds the service document of an example. */
export function buildExampleDocument(
  service: ExampleService,
  servers: ExampleServer[],
): Record<string, unknown> {
  const tokens = Object.entries(service.tokens);
  const workspaces = [...new Set(tokens.map(([, [workspace]]) => workspace))];
  return {
    service: service.name,
    version: 1,
    kind: `SERVICE_KIND_${service.engineKind.toUpperCase()}`,
    tiers: service.tiers,
    routes: service.routes,
    workspaces: workspaces.map((name) => ({ name })),
    credentials: tokens.map(([token, [workspace, tier]]) => ({
      tokenSha256: crypto.createHash('sha256').update(token).digest('hex'),
      workspace,
      tier,
    })),
    backendServers: servers.map((server) => ({ ...server, addedInVersion: 1 })),
    timing: { clockSkewMs: CLOCK_SKEW_MS },
  };
}
