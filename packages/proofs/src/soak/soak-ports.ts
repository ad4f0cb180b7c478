/** Tells when gateway processes of the soak test accept connections. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

const POLL_MS = 2;

/** Whether a process accepts connections on a local port. */
export function isAccepting(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

/** Waits until a process accepts connections on a local port, for at most a time. */
export async function waitUntilAccepting(port: number, withinMs: number): Promise<void> {
  const endMs = performance.now() + withinMs;
  while (performance.now() < endMs && !(await isAccepting(port))) {
    await timers.setTimeout(POLL_MS);
  }
}
