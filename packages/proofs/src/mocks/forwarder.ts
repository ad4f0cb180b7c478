/** A TCP forwarder on loopback that spoils connections from outside. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

export type Forwarder = {
  port: number;
  /** Stops passing bytes on the connections there are; new ones work. */
  blackhole: () => void;
  /** Stops passing bytes on every connection, new ones too, until opened. */
  block: () => void;
  /** Lets connections that come from now on pass. */
  unblock: () => void;
  /** Passes requests on and drops the answers, on the connections there are. */
  dropResponses: () => void;
  /** Resets the connections there are. */
  reset: () => void;
  /** Holds all bytes up by a time, milliseconds; 0 ends it. */
  setDelay: (ms: number) => void;
  countConnections: () => number;
  stop: () => void;
};

/** One connection through the forwarder. */
type Pair = { near: net.Socket; far: net.Socket; passesNear: boolean; passesFar: boolean };

type ForwarderState = { pairs: Set<Pair>; blocked: boolean; delayMs: number; connections: number };

/** Passes bytes and ends from one side to the other while `isPassing` holds. */
function passBytes(
  state: ForwarderState,
  from: net.Socket,
  to: net.Socket,
  isPassing: () => boolean,
): void {
  let earlier = Promise.resolve();
  const passOn = (call: () => void) => {
    const { delayMs } = state;
    // Bytes keep their order, also where a delay has just ended.
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
  from.on('error', () => passOn(() => to.resetAndDestroy()));
}

/** Takes one connection. */
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
  passBytes(state, near, far, () => pair.passesFar);
  passBytes(state, far, near, () => pair.passesNear);
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
  const silence = () =>
    state.pairs.forEach((pair) => Object.assign(pair, { passesNear: false, passesFar: false }));
  const server = net.createServer({ allowHalfOpen: true }, (near) =>
    accept(state, near, targetHost, targetPort),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    blackhole: silence,
    block: () => {
      state.blocked = true;
      silence();
    },
    unblock: () => {
      state.blocked = false;
    },
    dropResponses: () => state.pairs.forEach((pair) => Object.assign(pair, { passesNear: false })),
    reset: () =>
      state.pairs.forEach(({ near, far }) => {
        near.resetAndDestroy();
        far.resetAndDestroy();
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
