/** Host and port of a socket address. */
export interface SocketAddress {
  /** IP address or host name; an IPv6 address keeps its brackets. */
  readonly host: string;
  readonly port: number;
}

/**
 * Parses an address by splitting it at its last colon.
 *
 * @param address - HOST:PORT, already validated by the settings schema
 * @returns its host and port
 */
export function parseSocketAddress(address: string): SocketAddress {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
