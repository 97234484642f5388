/** A part of a prompt that a server may still hold from an earlier request. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request for a generation says of its size. */
export interface PromptShape {
  /** The caller's guess; right at the median, with a long tail. */
  readonly expectedOutputTokens?: number;
  readonly maxOutputTokens: number;
  readonly model: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
}
