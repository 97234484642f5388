import type {
  BackendServer,
  PromptShape,
  ServerChange,
  ServingConfiguration,
} from '@laburnumgap/dispatch';
import type { MemberId, Refusal, Result, Revision, TeamId } from '@laburnumgap/kernel';

/** Header names and values in the order and spelling of the wire. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** Head of a caller's request as it arrived. */
export interface RequestHead {
  readonly headers: HeaderList;
  readonly method: string;
  readonly path: string;
}

/** A caller's request, read. */
export interface CallerRequest {
  readonly apiKey?: string;
  /** How long the caller waits, from the arrival of the request. */
  readonly deadlineMs?: number;
  /** End-to-end headers, without those that only the system sets. */
  readonly headers: HeaderList;
  readonly host: string;
  readonly lastEventId?: string;
  readonly method: string;
  readonly path: string;
  readonly prompt?: PromptShape;
  readonly requestId: string;
}

/** Memory of a run that goes on at another engine. */
export interface KvCacheLocation {
  readonly handle: string;
  readonly host: string;
  readonly port: number;
}

/** What the system adds to a call that it sends to a server. */
export interface BackendRequestOptions {
  readonly deadlineMs: number;
  /** Memory from which the run goes on, after `lastEventId`. */
  readonly kvSource?: KvCacheLocation;
  readonly lastEventId?: string;
  readonly server: BackendServer;
  readonly teamId?: TeamId;
  /** 0 is the most urgent, 9 the least. */
  readonly urgency?: number;
}

/** What the head of a server's answer says beside its status. */
export interface ResponseMetadata {
  /** The body is encoded, which no server does. */
  readonly isEncoded: boolean;
  /** The server states that it did not run the request. */
  readonly notRun: boolean;
  /** The server's own stamp is there: the answer comes from a server at all. */
  readonly isStamped: boolean;
  /** Time that the server keeps the idle connection. */
  readonly keepAliveMs?: number;
  readonly requestId?: string;
}

/** A call that the system makes at an engine on its own account. */
export interface EngineControlRequest {
  readonly body: string;
  readonly headers: HeaderList;
  readonly method: string;
  readonly path: string;
}

/** An engine's answer to an order to move a run. */
export type MoveResult =
  | { readonly eventsMade: number; readonly handle: string; readonly kind: 'copied' }
  | { readonly handle?: string; readonly kind: 'noRoom' }
  | { readonly kind: 'inProgress' }
  | { readonly kind: 'noSuchRun' }
  | { readonly kind: 'unreadable'; readonly reason: string };

/** What an engine says of itself when it is asked. */
export interface EngineReport {
  /** It goes within a time that it knows, whether the store was told or not. */
  readonly isLeaving: boolean;
}

/** Head of an answer of the system's own. */
export interface LocalResponse {
  readonly body: string;
  readonly headers: HeaderList;
  readonly status: number;
}

/** The words that callers and backend servers use. */
export interface WireProtocol {
  /** Answers that a caller gets where no server's answer is passed on. */
  refusalResponse(refusal: Refusal): LocalResponse;
  /** Headers of a server's answer that the caller gets. */
  forwardedResponseHeaders(headers: HeaderList): HeaderList;
  moveRequest(requestId: string, target: BackendServer, isLast: boolean): EngineControlRequest;
  /** Frees a copy that is not used. */
  dropCopyRequest(handle: string): EngineControlRequest;
  parseResponseMetadata(headers: HeaderList): ResponseMetadata;
  parseCallerRequest(head: RequestHead): Result<CallerRequest, string>;
  parseMoveResult(status: number, body: Buffer): MoveResult;
  parseReport(status: number, body: Buffer): Result<EngineReport, string>;
  reportRequest(): EngineControlRequest;
  requestHeaders(call: CallerRequest, options: BackendRequestOptions): HeaderList;
}

/** Another daemon of the system. */
export interface MemberAddress {
  readonly host: string;
  readonly memberId: MemberId;
}

/** Changes of what the platform's store holds, decoded. */
export interface DirectoryChanges {
  readonly configuration?: ServingConfiguration;
  readonly members: readonly MemberAddress[];
  readonly membersGone: readonly MemberId[];
  /** Everything up to here is contained. */
  readonly revision: Revision;
  readonly servers: readonly ServerChange[];
  /** Entries that could not be decoded, for the log. */
  readonly unreadable: readonly UnreadableEntry[];
}

/** An entry of the store that could not be decoded. */
export interface UnreadableEntry {
  readonly key: string;
  readonly reason: string;
}

/** Why the store gave nothing. */
export type DirectoryError =
  | { readonly kind: 'historyLost' }
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'unreachable'; readonly reason: string }
  | { readonly kind: 'unreadable'; readonly reason: string };

/** The platform's store, as far as daemons read it and register themselves there. */
export interface PlatformDirectory {
  /** Ends waiting calls. */
  cancelPendingCalls(): void;
  /** Whether the store answers at all; the cheapest call there is. */
  ping(): Promise<boolean>;
  /** Reads everything. Its `revision` is that before the reading began. */
  readAll(): Promise<Result<DirectoryChanges, DirectoryError>>;
  /** Reads the configuration alone. */
  readConfiguration(): Promise<Result<ServingConfiguration, DirectoryError>>;
  register(member: MemberAddress): Promise<Result<undefined, DirectoryError>>;
  /** Waits for changes after a revision; empty after `waitMs`. */
  watch(after: Revision, waitMs: number): Promise<Result<DirectoryChanges, DirectoryError>>;
}
