/**
 * A TCP proxy as a link: its open connections can go silent for good, without a reset, while new ones
 * work, and it can hold back what servers send, as a choked link does.
 */
import * as net from 'node:net';

/**
 * Starts a proxy to a server.
 *
 * @param noteAnswer called when bytes of the server have been passed on
 */
export async function startProxy({ host = '127.0.0.1', port }, noteAnswer = () => {}) {
  const pairs = new Set();
  let isChoked = false;
  const server = net.createServer({ allowHalfOpen: true }, (client) => {
    const upstream = net.connect({ host, port, allowHalfOpen: true });
    const pair = { client, upstream, isSilent: false };
    pairs.add(pair);
    const passOn = (from, to, note) => {
      from.on('data', (part) => {
        if (!pair.isSilent) {
          to.write(part);
          note();
        }
      });
      from.on('end', () => pair.isSilent || to.end());
      from.on('error', () => pair.isSilent || to.destroy());
      from.on('close', () => pair.isSilent || to.destroy());
    };
    passOn(client, upstream, () => {});
    passOn(upstream, client, noteAnswer);
    if (isChoked) {
      upstream.pause();
    }
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    /** Silences the open connections; returns how many there are. */
    silence: () => {
      const open = [...pairs].filter(({ client, isSilent }) => !isSilent && !client.destroyed);
      open.forEach((pair) => Object.assign(pair, { isSilent: true }));
      return open.length;
    },
    /** Holds back what the server sends, or passes it on again. */
    choke: (isOn) => {
      isChoked = isOn;
      pairs.forEach(({ upstream }) => (isOn ? upstream.pause() : upstream.resume()));
    },
    stop: () => {
      server.close();
      pairs.forEach(({ client, upstream }) => [client, upstream].forEach((one) => one.destroy()));
    },
  };
}
