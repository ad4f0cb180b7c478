/** Checks of network addresses in settings and documents: IP addresses, not host names. */
import * as net from 'node:net';

const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;
/** First octets of IPv4 numbers that no host has: "this network", and from multicast on. */
const THIS_NETWORK = 0;
const FIRST_MULTICAST = 224;

export const ADDRESS_RULE = 'an IP number and a port, such as "10.0.0.7:7402" or "[fd00::7]:7402"';
export const HOST_RULE = 'the IPv4 number and port of a host, such as "10.0.0.7:7402"';
export const LISTEN_RULE = 'an IPv4 number and a port, such as "10.0.0.7:7402"; port 0 is chosen';
export const URL_RULE = 'an http URL with an IP number, such as "http://10.0.0.2:8500"';

/** Whether a number is a port that can be connected to, which excludes 0. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

/** Whether text is "IP:port", with brackets around an IPv6 address. */
export function isAddress(text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) {
    return false;
  }
  const [, ipv6, ipv4, port] = match;
  const isIp = ipv6 === undefined ? net.isIPv4(ipv4) : net.isIPv6(ipv6);
  return isIp && isPort(Number(port));
}

/** Whether text is "IP:port" of a host that can be connected to over IPv4. */
export function isHostAddress(text: string): boolean {
  const firstOctet = Number(text.split('.', 1)[0]);
  return (
    isAddress(text) &&
    !text.startsWith('[') &&
    firstOctet !== THIS_NETWORK &&
    firstOctet < FIRST_MULTICAST
  );
}

/** Whether text is "IP:port" to listen on over IPv4; port 0 lets the system choose. */
export function isListenAddress(text: string): boolean {
  const [host, port] = text.split(':', 2);
  return net.isIPv4(host) && (isAddress(text) || (port === '0' && text === `${host}:0`));
}

/** Whether text is an http URL whose host is an IP address. */
export function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) {
    return false;
  }
  const { protocol, hostname } = new URL(text);
  return protocol === 'http:' && net.isIP(hostname.replace(/^\[|\]$/g, '')) > 0;
}
