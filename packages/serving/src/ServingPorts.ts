import type {
  BackendServer,
  EvacuationChange,
  PromptShape,
  QuarantineReport,
  ServerChange,
  ServingConfiguration,
} from '@laburnumgap/dispatch';
import type {
  FingerprintId,
  LeaseId,
  MemberId,
  Refusal,
  Result,
  Revision,
  StoreEra,
  TeamId,
} from '@laburnumgap/kernel';

/** Header names and values in their order and spelling on the wire. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** Head of a caller's request as received. */
export interface RequestHead {
  readonly headers: HeaderList;
  readonly method: string;
  readonly path: string;
}

/** Parsed head of a caller's request. */
export interface CallerRequest {
  readonly apiKey?: string;
  /** Time that the caller waits, counted from the arrival of the request. */
  readonly deadlineMs?: number;
  /** End-to-end headers, without headers that callers must not set. */
  readonly headers: HeaderList;
  readonly host: string;
  readonly lastEventId?: string;
  readonly method: string;
  readonly path: string;
  /** Token counts and prefix of the prompt; absent for requests that are no generation. */
  readonly prompt?: PromptShape;
  readonly requestId: string;
}

/** Location of a run's copied KV cache, from which another engine continues the run. */
export interface KvCacheLocation {
  readonly handle: string;
  readonly host: string;
  readonly port: number;
}

/** Values that the system adds to a request that it sends to a server. */
export interface BackendRequestOptions {
  readonly deadlineMs: number;
  /** KV cache from which the run continues after `lastEventId`. */
  readonly kvSource?: KvCacheLocation;
  readonly lastEventId?: string;
  readonly server: BackendServer;
  readonly teamId?: TeamId;
  /** From 0, the most urgent, to 9. */
  readonly urgency?: number;
}

/** Properties of a server's response taken from its headers. */
export interface ResponseMetadata {
  /** The body has a content encoding, which backend servers never use. */
  readonly isEncoded: boolean;
  /** The server states that it is leaving. */
  readonly isLeaving: boolean;
  /** The server names a limit of its requests in a form that is not valid. */
  readonly isLimitUnreadable: boolean;
  /** The server's stamp is present: the response was made by a backend server. */
  readonly isStamped: boolean;
  /** Idle timeout of the connection that the server states. */
  readonly keepAliveMs?: number;
  /** Requests that the server can turn away in a second without failing, if it names a number. */
  readonly maxRejectionsPerS?: number;
  /** The server states that it did not execute the request. */
  readonly notRun: boolean;
  /** Time for which the server is still cold; absent when it does not say so. */
  readonly remainingColdMs?: number;
  readonly requestId?: string;
  /** Requests per second that the server takes from all daemons together, if it names a limit. */
  readonly requestsPerS?: number;
  /** Time for which the server wants no requests of this daemon. */
  readonly retryAfterMs?: number;
  /** Names of headers whose values are not valid and were ignored. */
  readonly unreadableHeaders: readonly string[];
}

/** Request that the system itself makes to an engine, such as a move. */
export interface EngineControlRequest {
  readonly body: string;
  readonly headers: HeaderList;
  readonly method: string;
  readonly path: string;
}

/** An engine's response to a request to move a run. */
export type MoveResult =
  | { readonly eventsMade: number; readonly handle: string; readonly kind: 'copied' }
  | { readonly handle?: string; readonly kind: 'noRoom' }
  | { readonly kind: 'inProgress' }
  | { readonly kind: 'noSuchRun' }
  | { readonly kind: 'unreadable'; readonly reason: string };

/** Status report of an engine. */
export interface EngineReport {
  /** The engine stops at a known time, whether or not the store says so. */
  readonly isLeaving: boolean;
}

/** Response that the system makes itself instead of forwarding one. */
export interface LocalResponse {
  readonly body: string;
  readonly headers: HeaderList;
  readonly status: number;
}

/** Encoding of the HTTP protocol that callers and backend servers use. */
export interface WireProtocol {
  /** Request to an engine that frees a copied KV cache. */
  dropCopyRequest(handle: string): EngineControlRequest;
  /** Selects the headers of a server's response that are forwarded to the caller. */
  forwardedResponseHeaders(headers: HeaderList): HeaderList;
  /**
   * Request to an engine that copies a run's KV cache to a target.
   *
   * @param requestId - id of the run
   * @param target - engine that receives the copy
   * @param isFinalCopy - stops the run and copies what was produced since the first copy
   * @returns the request
   */
  moveRequest(requestId: string, target: BackendServer, isFinalCopy: boolean): EngineControlRequest;
  /** Parses the head of a caller's request; the error says what is malformed. */
  parseCallerRequest(head: RequestHead): Result<CallerRequest, string>;
  /** Parses the response to a move request. */
  parseMoveResult(status: number, body: Buffer): MoveResult;
  /** Parses the response to a report request; the error says why it is not a report. */
  parseReport(status: number, body: Buffer): Result<EngineReport, string>;
  /** Reads the properties of a server's response from its headers. */
  parseResponseMetadata(headers: HeaderList): ResponseMetadata;
  /** Encodes a refusal as a response to the caller. */
  refusalResponse(refusal: Refusal): LocalResponse;
  /** Request to an engine for its status report. */
  reportRequest(): EngineControlRequest;
  /** Headers of a caller's request as it is sent to a server. */
  requestHeaders(request: CallerRequest, options: BackendRequestOptions): HeaderList;
}

/** Address of a daemon. */
export interface MemberAddress {
  readonly host: string;
  readonly memberId: MemberId;
}

/** Decoded changes of the platform's store. */
export interface DirectoryChanges {
  readonly configuration?: ServingConfiguration;
  /** Absent when the store did not state it. */
  readonly era?: StoreEra;
  /**
   * Evacuations of failure domains that began or ended; in a full read, all there are. Absent where they
   * are not known.
   */
  readonly evacuations?: readonly EvacuationChange[];
  readonly members: readonly MemberAddress[];
  readonly membersGone: readonly MemberId[];
  /** Quarantines that daemons wrote, with ages as of then; absent without any. */
  readonly quarantines?: readonly QuarantineReport[];
  /** The changes are complete up to this revision. */
  readonly revision: Revision;
  readonly servers: readonly ServerChange[];
  /** Entries that could not be decoded; they are logged. */
  readonly unreadable: readonly UnreadableEntry[];
}

/** An entry of the store that could not be decoded. */
export interface UnreadableEntry {
  readonly key: string;
  readonly reason: string;
}

/** Reason why a call to the store failed. */
export type DirectoryError =
  | { readonly kind: 'historyLost' }
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'unreachable'; readonly reason: string }
  | { readonly kind: 'unreadable'; readonly reason: string };

/** Response of the store to a ping. */
export interface DirectoryPing {
  readonly era?: StoreEra;
  readonly isReachable: boolean;
}

/** Entry of this daemon in the store, which removes it when its lease ends. */
export interface Registration {
  /** Era of the store that has the entry, if the store states it. */
  readonly era?: StoreEra;
  readonly leaseId: LeaseId;
  /** Time that the lease lasts from each renewal. */
  readonly leaseMs: number;
}

/** Client of the platform's store, from which daemons read and in which they register. */
export interface PlatformDirectory {
  /** Cancels pending calls. */
  cancelPendingCalls(): void;
  /** Checks whether the store responds, with its cheapest call. */
  ping(): Promise<DirectoryPing>;
  /**
   * Reads everything. The result's `revision` is the one before the read began. Fails with
   * `historyLost` when the era changes during the read.
   */
  readAll(): Promise<Result<DirectoryChanges, DirectoryError>>;
  /** Reads only the configuration. */
  readConfiguration(): Promise<Result<ServingConfiguration, DirectoryError>>;
  /** Writes the entry by which other daemons find this one, under a lease. */
  register(member: MemberAddress): Promise<Result<Registration, DirectoryError>>;
  /** Renews the lease of an entry, unless it has ended. */
  renewLease(leaseId: LeaseId): Promise<Result<'ended' | 'renewed', DirectoryError>>;
  /** Waits for changes after a revision; resolves without changes after `waitMs`. */
  watch(after: Revision, waitMs: number): Promise<Result<DirectoryChanges, DirectoryError>>;
}

/** Storage in which quarantines outlast a restart of all daemons. */
export interface QuarantineStore {
  /** Removes what was written of a fingerprint, if it is there. */
  removeQuarantine(fingerprint: FingerprintId): Promise<Result<undefined, DirectoryError>>;
  /** Writes a quarantine for daemons that start later; it lapses after some minutes. */
  writeQuarantine(report: QuarantineReport): Promise<Result<undefined, DirectoryError>>;
}
