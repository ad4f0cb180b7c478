/** A TCP forwarder on loopback that injects network faults into connections. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

export type Forwarder = {
  port: number;
  /** Silently drops all bytes on the existing connections; new connections work. */
  blackhole: () => void;
  /** Silently drops all bytes on existing connections, and on new ones until `unblock`. */
  block: () => void;
  /** Forwards connections that are accepted from now on; earlier ones stay dead. */
  unblock: () => void;
  /** Forwards requests but drops responses on the existing connections. */
  dropResponses: () => void;
  /** Resets the existing connections. */
  reset: () => void;
  /** Delays all bytes by a time in milliseconds; 0 ends the delay. */
  setDelay: (ms: number) => void;
  countConnections: () => number;
  stop: () => void;
};

/** One connection through the forwarder: the client side is `near`, the server side is `far`. */
type Pair = { near: net.Socket; far: net.Socket; passesNear: boolean; passesFar: boolean };

type ForwarderState = { pairs: Set<Pair>; blocked: boolean; delayMs: number; connections: number };

/** Resets a connection at once; the library would end it in order before the reset. */
function resetNow(socket: net.Socket): void {
  Object.assign(socket, { destroySoon: () => socket.destroy() });
  socket.resetAndDestroy();
}

/** Forwards data, end and errors from one side to the other while `isPassing` returns true. */
function forwardBytes(
  state: ForwarderState,
  from: net.Socket,
  to: net.Socket,
  isPassing: () => boolean,
): void {
  let earlier = Promise.resolve();
  const passOn = (call: () => void) => {
    const { delayMs } = state;
    // Chaining keeps the bytes in order even when a delay has just ended.
    earlier = earlier.then(async () => {
      if (delayMs > 0) {
        await timers.setTimeout(delayMs);
      }
      if (isPassing() && !to.destroyed) {
        call();
      }
    });
  };
  from.on('data', (bytes) => passOn(() => to.write(bytes)));
  from.on('end', () => passOn(() => to.end()));
  from.on('error', () => passOn(() => resetNow(to)));
}

/** Accepts one connection. */
function accept(state: ForwarderState, near: net.Socket, host: string, port: number): void {
  state.connections += 1;
  if (state.blocked) {
    near.on('data', () => {});
    near.on('error', () => near.destroy());
    return;
  }
  const far = net.connect({ port, host, allowHalfOpen: true });
  const pair = { near, far, passesNear: true, passesFar: true };
  state.pairs.add(pair);
  forwardBytes(state, near, far, () => pair.passesFar);
  forwardBytes(state, far, near, () => pair.passesNear);
  [near, far].forEach((socket) =>
    socket.on('close', () => {
      if (near.destroyed && far.destroyed) {
        state.pairs.delete(pair);
      }
    }),
  );
}

/** Starts a forwarder to a local port. */
export async function startForwarder(
  targetPort: number,
  targetHost = '127.0.0.1',
): Promise<Forwarder> {
  const state: ForwarderState = {
    pairs: new Set(),
    blocked: false,
    delayMs: 0,
    connections: 0,
  };
  const blackhole = () =>
    state.pairs.forEach((pair) => Object.assign(pair, { passesNear: false, passesFar: false }));
  const server = net.createServer({ allowHalfOpen: true }, (near) =>
    accept(state, near, targetHost, targetPort),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    blackhole,
    block: () => {
      state.blocked = true;
      blackhole();
    },
    unblock: () => {
      state.blocked = false;
    },
    dropResponses: () => state.pairs.forEach((pair) => Object.assign(pair, { passesNear: false })),
    reset: () =>
      state.pairs.forEach(({ near, far }) => {
        resetNow(near);
        resetNow(far);
      }),
    setDelay: (ms) => {
      state.delayMs = ms;
    },
    countConnections: () => state.connections,
    stop: () => {
      server.close();
      state.pairs.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
    },
  };
}
