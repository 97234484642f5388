/** A call to a plain service as it is sent to one of its servers. */
export interface PlainCall {
  readonly body: Buffer;
  /** Headers that are passed on, names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
}

/** A server's whole answer. */
export interface PlainAnswer {
  readonly body: Buffer;
  readonly headers: Readonly<Record<string, string>>;
  readonly status: number;
}
