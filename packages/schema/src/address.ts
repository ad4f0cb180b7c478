/** Network addresses as settings and documents hold them: IP numbers, never names. */
import * as net from 'node:net';

const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;

export const ADDRESS_RULE = 'an IP number and a port, such as "10.0.0.7:7402" or "[fd00::7]:7402"';
export const URL_RULE = 'an http URL with an IP number, such as "http://10.0.0.2:8500"';

/** Tells whether a port can be connected to. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

/** Tells whether text is "IP:port". */
export function isAddress(text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) {
    return false;
  }
  const [, version6, version4, port] = match;
  const isIp = version6 === undefined ? net.isIPv4(version4) : net.isIPv6(version6);
  return isIp && isPort(Number(port));
}

/** Tells whether text is an http URL whose host is an IP number. */
export function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) {
    return false;
  }
  const { protocol, hostname } = new URL(text);
  return protocol === 'http:' && net.isIP(hostname.replace(/^\[|\]$/g, '')) > 0;
}
