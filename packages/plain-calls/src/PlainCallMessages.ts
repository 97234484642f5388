/** A plain call (a request to a service that is no generation), as sent to a server. */
export interface PlainCall {
  readonly body: Buffer;
  /** Headers to send, with names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
}

/** A server's complete answer to a plain call. */
export interface PlainAnswer {
  readonly body: Buffer;
  readonly headers: Readonly<Record<string, string>>;
  readonly status: number;
}
