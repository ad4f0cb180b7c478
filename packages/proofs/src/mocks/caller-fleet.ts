/** One service over real processes, for tests of what callers see. */
import * as undici from 'undici';
import * as exampleDocument from './example-document.js';
import * as processFleet from './process-fleet.js';

export const SERVICE = 'brimwit';
export const TOKEN = 'brim-stall';

export type CallerFleet = {
  fleet: processFleet.Fleet;
  entry: processFleet.RunningProcess;
  agent: processFleet.RunningProcess;
  engine: processFleet.RunningProcess;
  port: number;
  baseUrl: string;
  publish: (changes: Record<string, unknown>) => Promise<void>;
};

export type CallerFleetOptions = {
  engineKind?: 'engine' | 'plain-service';
  engine?: Record<string, unknown>;
  document?: Record<string, unknown>;
  entry?: Record<string, unknown>;
};

/** Starts platform, engine, agent and entry. */
export async function startCallerFleet(options: CallerFleetOptions): Promise<CallerFleet> {
  const fleet = processFleet.createFleet();
  const platform = await processFleet.startStandIn(fleet, 'platform', {});
  const kind = options.engineKind ?? 'engine';
  const engine = await processFleet.startStandIn(fleet, kind, options.engine ?? {});
  const configurationUrl = `http://127.0.0.1:${platform.started.port}`;
  const agent = await processFleet.startDaemon(fleet, 'agent', {
    backendServerId: 'runner-1',
    service: SERVICE,
    failureDomain: 'suva-loft',
    platform: { configurationUrl },
    engineUrl: `http://127.0.0.1:${engine.started.port}`,
  });
  const address = `127.0.0.1:${agent.started.linkPort}`;
  const base = exampleDocument.buildDocument(SERVICE, 1, [{ id: 'runner-1', address }]);
  const publish = async (changes: Record<string, unknown>) => {
    await undici.request(`${configurationUrl}/test/documents/${SERVICE}`, {
      method: 'PUT',
      body: JSON.stringify({ ...base, ...options.document, ...changes }),
    });
  };
  await publish({});
  const entry = await processFleet.startDaemon(fleet, 'entry', {
    entryId: 'entry-1',
    failureDomain: 'suva-loft',
    services: [SERVICE],
    platform: { configurationUrl },
    ...options.entry,
  });
  await entry.waitForLine((line) => line.event === 'document');
  const port = entry.started.callerPort as number;
  const baseUrl = `http://127.0.0.1:${port}`;
  return { fleet, entry, agent, engine, port, baseUrl, publish };
}

/** Builds the body of a chat completion. */
export function buildChat(changes: Record<string, unknown> = {}): string {
  return JSON.stringify({ model: SERVICE, messages: [], max_tokens: 3, ...changes });
}
