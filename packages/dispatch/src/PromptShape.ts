/** A part of a prompt that an engine may hold in its prefix cache from an earlier request. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Size and structure of a generation, as its request states them. */
export interface PromptShape {
  /** The caller's estimate, close to the median of a long-tailed distribution. */
  readonly expectedOutputTokens?: number;
  readonly maxOutputTokens: number;
  readonly model: string;
  /** Parts of the prompt in order. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
}
