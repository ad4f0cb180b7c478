/** The task that runs attempts on the engine and reports what it answers. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as undici from 'undici';

export type EngineClient = {
  start: (refKey: string, offer: schema.Offer) => void;
  cancel: (refKey: string) => void;
  stop: () => void;
};

type EngineClientOptions = {
  engineUrl: string;
  post: (event: core.AgentEvent) => void;
};

/** Says what an error of the HTTP library means for the attempt. */
function toFault(error: unknown): core.EngineFault {
  const code = (error as { code?: string }).code ?? '';
  if (code === 'ECONNREFUSED') {
    return core.EngineFault.UNREACHABLE;
  }
  const broken = ['ECONNRESET', 'UND_ERR_SOCKET', 'EPIPE'].includes(code);
  return broken ? core.EngineFault.CRASHED : core.EngineFault.FAILED;
}

/** Creates the client of one engine. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
  const { post } = options;
  const dispatcher = new undici.Agent({
    connections: null,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: 1000,
  });
  const controllers = new Map<string, AbortController>();

  const run = async (refKey: string, offer: schema.Offer, signal: AbortSignal) => {
    const response = await undici.request(new URL(offer.path, options.engineUrl), {
      method: offer.method,
      headers: { 'content-type': offer.contentType, 'x-request-id': refKey },
      body: offer.payload.length > 0 ? offer.payload : null,
      dispatcher,
      signal,
    });
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
    post({ kind: 'engineHead', refKey, status: response.statusCode, contentType });
    for await (const data of response.body) {
      post({ kind: 'engineData', refKey, data });
    }
    post({ kind: 'engineEnd', refKey });
  };

  return {
    start: (refKey, offer) => {
      const controller = new AbortController();
      controllers.set(refKey, controller);
      run(refKey, offer, controller.signal)
        .catch((error) => post({ kind: 'engineFailed', refKey, fault: toFault(error) }))
        .finally(() => controllers.delete(refKey));
    },
    cancel: (refKey) => controllers.get(refKey)?.abort(),
    stop: () => {
      dispatcher.destroy();
    },
  };
}
