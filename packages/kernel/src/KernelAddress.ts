/** Host and port of a socket. */
export interface SocketAddress {
  /** IP number or name; an IPv6 number keeps its brackets. */
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address at its last colon.
 *
 * @param address - HOST:PORT, as the settings' schema admits it
 * @returns its parts
 */
export function socketAddressOf(address: string): SocketAddress {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
