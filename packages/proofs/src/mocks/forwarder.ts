/** A TCP forwarder that can fall silent: bytes stop and nothing is closed. */
import * as net from 'node:net';

export type Forwarder = {
  port: number;
  /** Stops passing bytes on the connections there are; new ones work. */
  silence: () => void;
  /** Stops passing bytes on every connection, new ones too, until opened. */
  block: () => void;
  /** Lets connections that come from now on pass. */
  unblock: () => void;
  countConnections: () => number;
  stop: () => void;
};

/** Starts a forwarder to a local port. */
export async function startForwarder(targetPort: number): Promise<Forwarder> {
  const pairs = new Set<[net.Socket, net.Socket]>();
  let blocked = false;
  let connections = 0;
  const silence = () =>
    pairs.forEach((pair) =>
      pair.forEach((socket) => {
        socket.unpipe();
        socket.removeAllListeners('end');
        socket.on('data', () => {});
      }),
    );
  const server = net.createServer({ allowHalfOpen: true }, (near) => {
    connections += 1;
    if (blocked) {
      near.on('data', () => {});
      near.on('error', () => {});
      return;
    }
    const far = net.connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
    pairs.add([near, far]);
    near.pipe(far);
    far.pipe(near);
    near.on('error', () => far.destroy());
    far.on('error', () => near.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    silence,
    block: () => {
      blocked = true;
      silence();
    },
    unblock: () => {
      blocked = false;
    },
    countConnections: () => connections,
    stop: () => {
      server.close();
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
    },
  };
}
