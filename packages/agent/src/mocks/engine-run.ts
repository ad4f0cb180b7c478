/** Runs one request on an engine whose responses the test chooses. */
import * as net from 'node:net';
import type * as nodeTest from 'node:test';
import type * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as engineClient from '../engine-client.js';

export type EngineOptions = {
  isModelEngine: boolean;
  /** Returns what is sent for a request; `from` is undefined unless it resumes a run. */
  respond: (from: number | undefined, request: string) => string;
  /** Sends a response; absent if the connection ends in order behind it. */
  send?: (socket: net.Socket, bytes: Buffer) => void;
  /** Body of the request. */
  payload?: Buffer;
};

/** Sends a response and ends its connection in order. */
function sendAndEnd(socket: net.Socket, bytes: Buffer): void {
  socket.end(bytes);
}

export type Outcome = {
  text: string;
  /** The fault, or undefined if the response is complete. */
  fault: core.EngineFault | undefined;
  /** How many further responses were reported. */
  extra: number;
};

/** Runs one request on an engine. */
export async function runOnce(
  context: nodeTest.TestContext,
  { isModelEngine, respond, send = sendAndEnd, payload }: EngineOptions,
): Promise<Outcome> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', (data) => {
      const from = /from=(\d+)/.exec(data.toString())?.[1];
      const text = respond(from === undefined ? undefined : Number(from), data.toString());
      send(socket, Buffer.from(text, 'latin1'));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  let text = '';
  let extra = 0;
  return new Promise((resolve) => {
    const client = engineClient.createEngineClient({
      engineUrl: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
      isModelEngine: () => isModelEngine,
      post: (event) => {
        if (event.kind === 'engineData') {
          text += Buffer.from(event.data).toString();
        } else if (event.kind === 'engineEnd' || event.kind === 'engineFailed') {
          resolve({ text, fault: event.kind === 'engineFailed' ? event.fault : undefined, extra });
        }
      },
      onFault: () => {},
      onExtraResponse: () => {
        extra += 1;
      },
    });
    context.after(() => {
      client.stop();
      server.close();
    });
    client.start(
      'run',
      schema.create(schema.OfferSchema, { method: 'POST', path: '/v1/x', payload }),
    );
  });
}
