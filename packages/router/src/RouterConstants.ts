/** Invariant 803: the engine of a generation is read only while it is placed. */
export const NO_ENGINE_INVARIANT = 803;
/** Invariant 802: the settings name a policy that is registered. */
export const UNKNOWN_POLICY_INVARIANT = 802;
/** Invariant 801: a stream is read only while it is open. */
export const NO_STREAM_INVARIANT = 801;

/** Upper limit of a request body in bytes. */
export const MAX_BODY_BYTES = 1024 * 1024;
/** Time for a request body to arrive. */
export const BODY_TIMEOUT_MS = 10_000;
/** `retryAfterMs` while this router shuts down; the caller retries at another one. */
export const DRAINING_RETRY_MS = 1_000;

/** `retryAfterMs` while this router has not read the contracts yet. */
export const STARTING_RETRY_MS = 500;
/** `retryAfterMs` while no engine is reachable. */
export const NO_ENGINE_RETRY_MS = 1_000;
/** Interval of keepalive comments on an idle event stream of a caller. */
export const KEEPALIVE_MS = 1_500;
/** Timeout for a scheduler's first event: queued, granted or refused. */
export const ADMIT_FIRST_EVENT_TIMEOUT_MS = 1_000;
/** Deadline of calls between the daemons. */
export const RPC_DEADLINE_MS = 1_000;
/** Deadline of a scheduler's estimate of the waits of its engines. */
export const ESTIMATE_DEADLINE_MS = 300;
/** Deadline of calls to a request's homes; the first token waits for their replies. */
export const HOME_DEADLINE_MS = 500;
/** Interval of progress reports to the schedulers. */
export const PROGRESS_INTERVAL_MS = 1_000;
/** Rounds of choosing engines before a request is refused. */
export const MAX_PLACEMENT_ROUNDS = 3;
/** Schedulers tried in rank order for one admission. */
export const MAX_ADMISSION_TRIES = 3;
/** How long an engine that did not answer is considered suspect. */
export const ENGINE_SUSPICION_MS = 5_000;
/** Tokens between two updates of the record at a request's homes. */
export const HOME_REFRESH_INTERVAL_TOKENS = 512;
/** The gap before every n-th token is reported as a metric. */
export const GAP_SAMPLE_INTERVAL_TOKENS = 8;
/** Share of the shutdown bound reserved for closing connections after the streams were detached. */
export const DRAIN_RESERVE_SHARE = 0.3;
/** After a pause this long, a run checks whether it was superseded before it delivers more tokens. */
export const SUPERSEDED_CHECK_PAUSE_MS = 2_000;
/** Detail with which an engine rejects new work when it is about to leave. */
export const ENGINE_LEAVING_DETAIL = 'leaving';
/** Longest retention of the records of ended generations; engines keep their tokens as long. */
export const MAX_RECORD_RETENTION_MS = 60_000;
/** Longest wait on a silent stream before the engine's status is queried again. */
export const MAX_SILENCE_MS = 10_000;
