/** Checks of network addresses in settings and documents: IP addresses, not host names. */
import * as net from 'node:net';

const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;

export const ADDRESS_RULE = 'an IP number and a port, such as "10.0.0.7:7402" or "[fd00::7]:7402"';
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

/** Whether text is an http URL whose host is an IP address. */
export function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) {
    return false;
  }
  const { protocol, hostname } = new URL(text);
  return protocol === 'http:' && net.isIP(hostname.replace(/^\[|\]$/g, '')) > 0;
}
