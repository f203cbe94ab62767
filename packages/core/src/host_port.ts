import { isIPv4 } from "node:net";

/** Highest TCP port. */
const MAX_PORT = 65_535;

/**
 * Whether the text is an IPv4 address and a port to connect to, such as
 * `10.0.0.1:80`. Short forms and leading zeros, which clients read differently,
 * are not accepted.
 */
export function isHostPort(text: string): boolean {
  const [, host, port] = /^([\d.]+):([1-9]\d{0,4})$/.exec(text) ?? [];
  return isIPv4(host ?? "") && Number(port) <= MAX_PORT;
}
