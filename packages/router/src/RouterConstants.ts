/** Invariant 803: only a generation that is placed has an engine. */
export const NO_ENGINE_INVARIANT = 803;
/** Invariant 802: the settings name a policy that is registered. */
export const UNKNOWN_POLICY_INVARIANT = 802;
/** Invariant 801: a stream is read only once it is open. */
export const NO_STREAM_INVARIANT = 801;

/** Largest request body. */
export const MAX_BODY_BYTES = 1024 * 1024;
/** Time for a request body to arrive. */
export const BODY_TIMEOUT_MS = 10_000;
/** When to come back to another router while this one shuts down. */
export const DRAINING_RETRY_MS = 1_000;

/** When a caller comes back to a router that has not read the contracts yet. */
export const STARTING_RETRY_MS = 500;
/** When to come back while no engine can be reached. */
export const NO_ENGINE_RETRY_MS = 1_000;
/** Pause between keepalive comments on a caller's stream. */
export const KEEPALIVE_MS = 1_500;
/** Time in which a scheduler says whether a request is queued, granted or refused. */
export const ADMIT_FIRST_EVENT_TIMEOUT_MS = 1_000;
/** Deadline of calls between own processes. */
export const RPC_DEADLINE_MS = 1_000;
/** Time for the schedulers to say what engines are expected to take. */
export const ESTIMATE_DEADLINE_MS = 300;
/** Time for a request's homes to answer; the first token waits for it. */
export const HOME_DEADLINE_MS = 500;
/** Pause between progress reports. */
export const PROGRESS_INTERVAL_MS = 1_000;
/** Rounds of choosing engines before a request is refused. */
export const MAX_PLACEMENT_ROUNDS = 3;
/** Schedulers tried, in rank, for one admission. */
export const MAX_ADMISSION_TRIES = 3;
/** How long an engine that did not answer is avoided. */
export const ENGINE_SUSPICION_MS = 5_000;
/** Tokens between two refreshes of a request's homes. */
export const HOME_REFRESH_INTERVAL_TOKENS = 512;
/** Every so many tokens their gap is reported as a metric. */
export const GAP_SAMPLE_INTERVAL_TOKENS = 8;
/** Part of the shutdown bound that is left for closing once streams were given their time. */
export const DRAIN_RESERVE_SHARE = 0.3;
/** Pause of a run after which it asks whether it was taken over before it delivers more. */
export const SUPERSEDED_CHECK_PAUSE_MS = 2_000;
/** Reason that an engine gives for taking no new work when it is about to leave. */
export const ENGINE_LEAVING_DETAIL = 'leaving';
/** How long records of ended generations are kept at most; engines keep their tokens as long. */
export const MAX_RECORD_RETENTION_MS = 60_000;
/** Longest wait on a silent stream before the engine is asked again. */
export const MAX_SILENCE_MS = 10_000;
