import type { Result } from '@laburnumgap/kernel';

/** Receives what other daemons send. */
export interface PeerTransportListener {
  onDatagram(bytes: Buffer): void;
  /**
   * Answers a request for the state of this daemon.
   *
   * @param url - path and query of the request
   * @returns the body, or undefined when there is none at this path
   */
  onRequest(url: URL): Buffer | undefined;
}

/** Limits of one request to another daemon. */
export interface PeerFetchOptions {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/** Carries datagrams and requests between the daemons. */
export interface PeerTransport {
  /**
   * Closes all sockets after the datagrams that were handed over.
   *
   * @returns resolves when the ports are free
   */
  close(): Promise<void>;
  /**
   * Requests the state of another daemon.
   *
   * @param host - host of the daemon
   * @param path - path and query
   * @param options - limits; reaching one closes the connection
   * @returns the body of a successful response, or why there is none; never rejects
   */
  fetch(host: string, path: string, options: PeerFetchOptions): Promise<Result<Buffer, string>>;
  /** Opens all sockets; rejects when a port cannot be opened. */
  open(listener: PeerTransportListener): Promise<void>;
  /** Sends a datagram, which can be lost. */
  send(bytes: Buffer, host: string): void;
}
