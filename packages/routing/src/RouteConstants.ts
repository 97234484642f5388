/** Invariant 901: a random pick has at least one candidate. */
export const NO_CANDIDATE_INVARIANT = 901;
/** Characters of a prompt in one block of the engines' prefix cache. */
export const PREFIX_BLOCK_CHARACTERS = 64;
/** Characters of a prompt in one token. */
export const CHARACTERS_PER_TOKEN = 4;
/** Hexadecimal digits of a prefix hash. */
export const PREFIX_HASH_DIGITS = 16;
/** Most prompt blocks that are hashed; longer prompts are distinguished by their start only. */
export const MAX_PREFIX_BLOCKS = 64;
/** Time to prefill one prompt token that is not cached. */
export const DEFAULT_PREFILL_MS_PER_TOKEN = 0.5;
/** Engines picked at random in addition to the one expected to cache the prefix. */
export const RANDOM_CANDIDATES = 2;
/** Prefixes whose last engine is cached. */
export const DEFAULT_PREFIX_CAPACITY = 20_000;
