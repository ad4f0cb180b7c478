/** Stand-in for a client: sends one request and records what comes back. */
import * as http from 'node:http';

/**
 * Sends a request; resolves once its answer has ended, or its connection.
 *
 * `status` is undefined if no answer began; `isComplete` tells whether the answer ended as HTTP
 * prescribes, and `isKept` whether the connection had carried a request before.
 */
export function sendRequest({ agent, host, port, path, attempt, headers = {}, deadlineMs }) {
  return new Promise((resolve) => {
    const sentMs = Date.now();
    const result = { attempt, sentMs, status: undefined, body: '', isComplete: false };
    let request;
    let isOver = false;
    const end = (changes) => {
      if (!isOver) {
        isOver = true;
        resolve({ ...result, ...changes, isKept: request.reusedSocket, endedMs: Date.now() });
      }
    };
    request = http.request({
      agent,
      host,
      port,
      path,
      method: 'POST',
      headers: {
        host: 'a.example',
        'x-toucanproxy-attempt-id': attempt,
        'x-toucanproxy-deadline-ms': String(deadlineMs),
        'x-toucanproxy-credential': 'key-1',
        'content-length': '0',
        ...headers,
      },
    });
    request.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on('data', (part) => {
        result.body += part.toString();
      });
      response.on('end', () => end({ isComplete: response.complete }));
      response.on('error', (error) => end({ error: error.code ?? error.message }));
    });
    request.on('error', (error) => end({ error: error.code ?? error.message }));
    request.end();
  });
}
