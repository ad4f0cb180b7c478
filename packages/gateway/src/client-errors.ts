/** Responds to requests that cannot be parsed or do not arrive in time. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as localResponse from './local-response.js';

type ClientErrorOptions = {
  /** Lists the responses of a connection that have not left the process, the oldest first. */
  listOpen: (socket: net.Socket) => http.ServerResponse[];
  /** Refuses a request whose head has been read. */
  refuse: (response: http.ServerResponse, code: schema.ResultCode) => void;
  reportRefusal: (code: schema.ResultCode, fields: Record<string, unknown>) => void;
  /** Calls `refuseLate` unless the request that timed out is about to be read. */
  handleRequestTimeout: (socket: net.Socket, refuseLate: () => void) => void;
};

export type ErrorHandlers = {
  /** Handles an error of the HTTP parser or a timeout. */
  handleError: (error: Error, socket: net.Socket) => void;
  /** Refuses to open a tunnel; the HTTP library has given up the connection. */
  refuseTunnel: (socket: net.Socket) => void;
};

/**
 * Creates the handlers.
 *
 * Responses to earlier requests of the connection are sent first. A caller would take a refusal
 * that overtakes them for the response to the first of these requests, which may have run.
 */
export function createErrorHandlers(options: ClientErrorOptions): ErrorHandlers {
  const { listOpen, refuse, reportRefusal, handleRequestTimeout } = options;
  /** Connections whose error has been handled; the parser reports it again for what follows. */
  const handled = new WeakSet<net.Socket>();
  const refuseInOrder = (code: schema.ResultCode, socket: net.Socket) => {
    const last = listOpen(socket).at(-1);
    if (last !== undefined) {
      last.once('close', () => refuseInOrder(code, socket));
    } else if (!socket.destroyed) {
      reportRefusal(code, {});
      runtime.writeErrorResponse(
        socket,
        localResponse.buildLocalResponse({ code, retryAfterMs: undefined }),
      );
    }
  };
  const handleParserError = (code: schema.ResultCode | undefined, socket: net.Socket) => {
    const open = listOpen(socket);
    const incomplete = open.find(({ req }) => !req.complete);
    const hasLeft = socket.readableEnded && open.length > (incomplete === undefined ? 0 : 1);
    if (code === undefined || hasLeft) {
      socket.destroy();
    } else if (!handled.has(socket)) {
      handled.add(socket);
      if (incomplete === undefined) {
        refuseInOrder(code, socket);
      } else {
        refuse(incomplete, code);
      }
    }
  };
  return {
    handleError: (error, socket) => {
      const code = runtime.toResultCode(error);
      const handle = () => handleParserError(code, socket);
      if (code === schema.ResultCode.REQUEST_TIMEOUT) {
        handleRequestTimeout(socket, handle);
      } else {
        handle();
      }
    },
    refuseTunnel: (socket) => {
      socket.on('error', () => socket.destroy());
      // What follows is read and dropped, so that the end of the connection is noticed.
      socket.on('end', () => socket.destroy());
      socket.resume();
      refuseInOrder(schema.ResultCode.MALFORMED_REQUEST, socket);
    },
  };
}
