/** A TCP client that sends arbitrary bytes and records what it receives. */
import * as net from 'node:net';

export type RawClient = {
  socket: net.Socket;
  /** Everything received so far. */
  getText: () => string;
  /** Resolves with the received text once it matches a pattern. */
  waitForText: (pattern: RegExp) => Promise<string>;
  /** Resolves with the received text once the connection has closed. */
  waitForClose: () => Promise<string>;
};

const WAIT_MS = 30_000;

/** Connects and sends the first bytes. */
export function openRawClient(port: number, bytes: string): RawClient {
  const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
  let text = '';
  const checks = new Set<() => void>();
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  socket.on('data', (data) => {
    text += data.toString('latin1');
    checks.forEach((check) => check());
  });
  socket.on('error', () => {});
  const waitForText = (pattern: RegExp) =>
    new Promise<string>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`no ${pattern} in ${text}`)), WAIT_MS);
      const check = () => {
        if (pattern.test(text)) {
          clearTimeout(timer);
          checks.delete(check);
          resolve(text);
        }
      };
      checks.add(check);
      check();
    });
  return { socket, getText: () => text, waitForText, waitForClose: () => closed.then(() => text) };
}
