/**
 * Contains exceptions that are thrown while the connection of a caller is handled, before its request is
 * admitted or beside it. Each ends this request, or this connection, and no other.
 */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as runtime from '@toucanproxy/runtime';

type EndFailed = (request: http.IncomingMessage, response: http.ServerResponse) => void;

/** Ends a request after an exception; a response that cannot be sent any more is broken off. */
function endRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  runContained: runtime.RunContained,
  endFailed: EndFailed,
): void {
  runContained(
    () => {
      if (response.headersSent) {
        response.destroy();
      } else {
        endFailed(request, response);
      }
    },
    () => {
      response.destroy();
    },
  );
}

/**
 * Runs the events of a server, and of its connections, requests and responses, contained. To be called
 * before it listens.
 *
 * @param endFailed answers a request whose response has not begun
 */
export function runServerContained(
  server: http.Server,
  runContained: runtime.RunContained,
  endFailed: EndFailed,
): void {
  // Registered before those of the library, which would otherwise handle events uncontained.
  server.prependListener('connection', (socket: net.Socket) =>
    runtime.runEventsContained(socket, runContained, () => socket.destroy()),
  );
  const watchRequest = (request: http.IncomingMessage, response: http.ServerResponse) => {
    const end = () => endRequest(request, response, runContained, endFailed);
    runtime.runEventsContained(request, runContained, end);
    runtime.runEventsContained(response, runContained, end);
  };
  server.prependListener('request', watchRequest);
  server.prependListener('checkContinue', watchRequest);
  runtime.runEventsContained(server, runContained, (name, values) => {
    const [first, second] = values;
    if (name === 'request' || name === 'checkContinue') {
      const request = first as http.IncomingMessage;
      endRequest(request, second as http.ServerResponse, runContained, endFailed);
    } else {
      values.forEach((value) => value instanceof net.Socket && value.destroy());
    }
  });
}
