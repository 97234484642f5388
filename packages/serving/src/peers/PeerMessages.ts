import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type {
  ColdReport,
  EngineShare,
  EngineTotals,
  EvacuationRecord,
  LimitReport,
  MoveRequest,
  PermitDecision,
  QuarantineReport,
  RegisteredServer,
  CapacityRequest,
  ServerChange,
  ServerIncarnation,
  ServingConfiguration,
  TrialReport,
} from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  FingerprintId,
  MemberId,
  RequestId,
  Revision,
  ServerId,
  StoreEra,
} from '@laburnumgap/kernel';
import { packAllEvacuations, packEvacuations, unpackEvacuations } from './EvacuationMessages.js';
import type { SyncPosition } from './LagDetector.js';
import type { ServiceShortage } from './ShortageReportCodec.js';
import { packShortage, unpackShortage } from './ShortageReportCodec.js';
import {
  isMemberAddress,
  isRegisteredServer,
  isServingConfiguration,
  isWord,
  withUsableServer,
} from './ReceivedEntries.js';
import type { PackedSpeedReport } from './SpeedReports.js';
import type { MemberAddress } from '../ServingPorts.js';
import type { StorePosition } from '../store/StorePosition.js';

/** State that a daemon sends to the others periodically and after changes. */
export interface PeerHeartbeat extends SyncPosition {
  /** Servers that the sender itself found to be cold; absent without any. */
  readonly cold?: readonly ColdReport[];
  /**
   * One record for each failure domain that ever was evacuated; absent without any, and from daemons of
   * earlier builds.
   */
  readonly evacuations?: readonly EvacuationRecord[];
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** Start of the sending process; changes with a restart. */
  readonly incarnation: number;
  /** The daemon reaches servers only through others; absent when it does not. */
  readonly isCutOff?: boolean;
  /** The daemon is shutting down and accepts no new connections. */
  readonly isDraining: boolean;
  /** The daemon stops; receivers remove it. */
  readonly isStopping: boolean;
  /** Servers reported as leaving by themselves or by a daemon, but not yet by the store. */
  readonly leavingServers: readonly ServerIncarnation[];
  /** Limits of requests that servers named; absent from daemons of earlier builds. */
  readonly limits?: readonly LimitReport[];
  readonly memberId: MemberId;
  /** Some of the quarantines, in turn; absent without any, and from daemons of earlier builds. */
  readonly quarantines?: readonly QuarantineReport[];
  /** Grows with each heartbeat of an incarnation. */
  readonly sequence: number;
  /** Load of the daemon at each engine; empty in heartbeats that only show liveness. */
  readonly shares: readonly EngineShare[];
  /** Waiting generations; absent where daemons do not share a shortage, and from earlier builds. */
  readonly shortage?: readonly ServiceShortage[];
  /** Observed speeds of some engines, in turn; checked by `unpackSpeedReports`. */
  readonly speeds?: readonly PackedSpeedReport[];
  /**
   * Time before the message up to which the sender knows all changes of the platform's store; absent until
   * it knows any, and from daemons of earlier builds.
   */
  readonly storeAgeMs?: number;
  /** The platform's store does not respond to this daemon. */
  readonly storeIsAway: boolean;
}

/** Messages between a daemon that wants to move a stream and the coordinator of the moves. */
export type MoveMessage =
  | { readonly kind: 'moveDone'; readonly requestId: RequestId }
  | { readonly kind: 'moveQueued'; readonly requestId: RequestId }
  | { readonly kind: 'moveTurn'; readonly requestId: RequestId; readonly targetId: ServerId }
  | { readonly kind: 'moveWanted'; readonly wish: MoveRequest };

/** Request for capacity at an engine, and the response of the engine's owner. */
export type CapacityMessage =
  | {
      readonly isGranted: boolean;
      readonly kind: 'roomAnswer';
      readonly requestId: RequestId;
      readonly serverId: ServerId;
      readonly totals: EngineTotals;
    }
  | { readonly kind: 'roomWanted'; readonly memberId: MemberId; readonly wish: CapacityRequest };

/**
 * Request for a permit to send one request to a server that limits its requests, and the decision of
 * the daemon that was asked. Both carry what the sender knows of the limit.
 */
export type PermitMessage =
  | {
      /** The request was counted as one to a cold server; absent otherwise, and from earlier builds. */
      readonly countsCold?: boolean;
      readonly decision: PermitDecision | { readonly kind: 'notOwner' };
      readonly kind: 'permitResponse';
      readonly limit?: LimitReport;
      readonly requestNumber: number;
      readonly serverId: ServerId;
    }
  | {
      readonly isRejected: boolean;
      /** The server did not get the request. */
      readonly isUnused?: boolean;
      readonly kind: 'permitReleased';
      readonly memberId: MemberId;
      /** Absent when only a rejection is reported. */
      readonly requestNumber?: number;
      readonly serverId: ServerId;
    }
  | {
      /** Requests to the server that the sender holds permits of or waits for; absent unless brittle. */
      readonly heldNumbers?: readonly number[];
      /** The sender knows that the server is cold. */
      readonly isCold?: boolean;
      readonly kind: 'permitRequest';
      readonly limit?: LimitReport;
      readonly maxWaitMs: number;
      readonly memberId: MemberId;
      readonly requestNumber: number;
      readonly serverId: ServerId;
    };

/**
 * Messages about requests that crash servers: a crash and the reports on fingerprints, and the request
 * for a trial with its response.
 */
export type QuarantineMessage =
  | {
      readonly ageMs: number;
      readonly fingerprints: readonly FingerprintId[];
      readonly isTrial: boolean;
      readonly kind: 'serverCrash';
      readonly server: ServerIncarnation;
      /**
       * Times from sending the first request with each fingerprint to the crash, in the order of the
       * fingerprints; absent from daemons of earlier builds.
       */
      readonly sinceSentMs?: readonly number[];
      /** Fingerprints of the trials that the server ran; absent without one, and from earlier builds. */
      readonly tried?: readonly FingerprintId[];
    }
  | {
      readonly fingerprint: FingerprintId;
      readonly kind: 'trialRequest';
      readonly memberId: MemberId;
      readonly requestNumber: number;
      /** All fingerprints of the request; absent from daemons of earlier builds. */
      readonly tried?: readonly FingerprintId[];
    }
  | {
      readonly isGranted: boolean;
      readonly kind: 'trialResponse';
      readonly reports: readonly QuarantineReport[];
      readonly requestNumber: number;
    }
  | { readonly kind: 'quarantine'; readonly reports: readonly QuarantineReport[] };

/** A server wants no requests of the receiver for a while, as it told the sender. */
export interface BackoffMessage {
  readonly kind: 'serverBackoff';
  readonly retryAfterMs: number;
  readonly server: ServerIncarnation;
}

/** Changes of the store, sent to the fleet by a daemon that watches it. */
export interface ChangesMessage {
  /**
   * Newest version of the configuration at `revision`, which the sender has; absent from daemons of
   * earlier builds.
   */
  readonly configurationVersion?: number;
  /** Era of both revisions. */
  readonly era: StoreEra;
  /** Evacuations that began or ended; each counts even if the other changes do not apply. */
  readonly evacuations?: readonly EvacuationRecord[];
  /** Host of the sender; absent from daemons of earlier builds. */
  readonly host?: string;
  readonly kind: 'changes';
  readonly members: readonly MemberAddress[];
  readonly membersGone: readonly MemberId[];
  readonly revision: Revision;
  readonly servers: readonly ServerChange[];
  /** The changes apply to this revision without a gap. */
  readonly sinceRevision: Revision;
}

/** A live daemon of a failure domain, as the other domains hear of it. */
export interface DomainMember {
  readonly host: string;
  /** The daemon reaches servers only through others; absent when it does not. */
  readonly isCutOff?: boolean;
  readonly isDraining: boolean;
  readonly memberId: MemberId;
  readonly storeIsAway: boolean;
}

/** Live daemons of a failure domain, and the position of the daemon that reports them. */
export interface DomainDigest extends SyncPosition {
  readonly host: string;
  readonly members: readonly DomainMember[];
}

/** Summed load of a failure domain at each engine, for the other domains. */
export interface DomainLoadMessage {
  /** Not in every message, since liveness changes less often than load. */
  readonly digest?: DomainDigest;
  readonly failureDomain: FailureDomainId;
  /** Forwarded within a domain; receivers don't forward it again. */
  readonly isForwarded?: boolean;
  readonly kind: 'domainLoad';
  readonly shares: readonly EngineShare[];
  /** Waiting generations of the domain, as in {@link PeerHeartbeat}. */
  readonly shortage?: readonly ServiceShortage[];
  /** Observed speeds of some engines, in turn; checked by `unpackSpeedReports`. */
  readonly speeds?: readonly PackedSpeedReport[];
  /** As in {@link PeerHeartbeat}. */
  readonly storeAgeMs?: number;
}

/** Announcement of a new configuration, which receivers fetch from the sender. */
export interface ConfigurationMessage {
  /** Failure domain of the sender. */
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  readonly kind: 'configuration';
  readonly version: number;
}

/** Any message between daemons except heartbeats. */
export type PeerMessage =
  | BackoffMessage
  | CapacityMessage
  | ChangesMessage
  | ConfigurationMessage
  | DomainLoadMessage
  | MoveMessage
  | PermitMessage
  | QuarantineMessage;

/** State of a daemon, for a daemon that the store does not respond to. */
export interface PeerSnapshot extends StorePosition {
  readonly configuration?: ServingConfiguration;
  /**
   * One record for each failure domain that ever was evacuated; absent from daemons that do not follow
   * evacuations.
   */
  readonly evacuations?: readonly EvacuationRecord[];
  /**
   * Newest version that the sender has heard of, which it may not have; absent from daemons of earlier
   * builds.
   */
  readonly knownVersion?: number;
  /** Limits of requests that servers named; absent from daemons of earlier builds. */
  readonly limits?: readonly LimitReport[];
  readonly members: readonly MemberAddress[];
  readonly servers: readonly RegisteredServer[];
}

/**
 * Encoded share, about 40 bytes: engine, planned tokens, unread prompt tokens, used tokens, runs.
 */
type PackedShare = readonly [ServerId, number, number, number, number];

const PACKED_SHARE_LENGTH = 5;
const QUARANTINE_STAGES: ReadonlySet<string> = new Set(['cleared', 'confirmed', 'suspected']);

/**
 * Encodes a heartbeat or a message as JSON.
 *
 * @param message - the message
 * @returns the JSON text
 */
export function encodeMessage(message: PeerHeartbeat | PeerMessage): string {
  const text =
    'shares' in message
      ? {
          ...message,
          ...packShares(message.shares),
          shortage: message.shortage && packShortage(message.shortage),
        }
      : message;
  return JSON.stringify(
    'evacuations' in message
      ? { ...text, evacuations: packEvacuations(message.evacuations) }
      : text,
  );
}

/**
 * Encodes a snapshot as JSON.
 *
 * @param snapshot - state of this daemon
 * @returns the JSON text
 */
export function encodeSnapshot(snapshot: PeerSnapshot): string {
  const { evacuations } = snapshot;
  return JSON.stringify(
    evacuations ? { ...snapshot, evacuations: packAllEvacuations(evacuations) } : snapshot,
  );
}

/**
 * Parses any datagram of another daemon, once.
 *
 * @param bytes - a datagram
 * @returns the heartbeat or the message, or undefined when the datagram is neither
 */
export function parseDatagram(bytes: Buffer): PeerHeartbeat | PeerMessage | undefined {
  const value = parse(bytes.toString());
  return isObject(value) && 'kind' in value ? toPeerMessage(value) : toHeartbeat(value);
}

function toHeartbeat(value: unknown): PeerHeartbeat | undefined {
  const heartbeat = value as Partial<PeerHeartbeat> | undefined;
  const isHeartbeat =
    isId(heartbeat?.memberId) &&
    isWord(heartbeat.host) &&
    isId(heartbeat.failureDomain) &&
    Number.isFinite(heartbeat.incarnation) &&
    Number.isFinite(heartbeat.sequence) &&
    Number.isFinite(heartbeat.era) &&
    Number.isFinite(heartbeat.revision) &&
    Number.isFinite(heartbeat.configurationVersion) &&
    isListOf(
      heartbeat.leavingServers,
      (server) => isId(server.serverId) && Number.isFinite(server.startedEpochMs),
    ) &&
    isColdList(heartbeat.cold ?? []) &&
    isLimitList(heartbeat.limits) &&
    isQuarantineList(heartbeat.quarantines ?? []) &&
    Array.isArray(heartbeat.shares);
  return isHeartbeat ? withEvacuations(unpackShares(heartbeat as PeerHeartbeat)) : undefined;
}

/**
 * Parses a message other than a heartbeat.
 *
 * @param bytes - a datagram
 * @returns the message, or undefined when the datagram is none
 */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  return toPeerMessage(parse(bytes.toString()));
}

function toPeerMessage(value: unknown): PeerMessage | undefined {
  const message = value as Partial<PeerMessage> | undefined;
  switch (message?.kind) {
    case 'changes':
      return isChanges(message)
        ? { ...withEvacuations(message), servers: message.servers.map(withUsableServer) }
        : undefined;
    case 'configuration':
      return isId(message.failureDomain) && isWord(message.host) && Number.isFinite(message.version)
        ? (message as ConfigurationMessage)
        : undefined;
    case 'domainLoad':
      return isId(message.failureDomain) &&
        Array.isArray(message.shares) &&
        isDigest(message.digest)
        ? unpackShares(message as DomainLoadMessage)
        : undefined;
    case 'moveDone':
    case 'moveQueued':
      return isId(message.requestId) ? (message as MoveMessage) : undefined;
    case 'moveTurn':
      return isId(message.requestId) && isId(message.targetId)
        ? (message as MoveMessage)
        : undefined;
    case 'moveWanted':
      return isMoveRequest(message.wish) ? (message as MoveMessage) : undefined;
    case 'permitReleased':
      return isId(message.memberId) &&
        isId(message.serverId) &&
        typeof message.isRejected === 'boolean' &&
        (message.requestNumber === undefined || Number.isFinite(message.requestNumber))
        ? (message as PermitMessage)
        : undefined;
    case 'permitRequest':
      return isPermitRequest(message) ? message : undefined;
    case 'permitResponse':
      return isPermitResponse(message) ? message : undefined;
    case 'quarantine':
      return isQuarantineList(message.reports) ? (message as QuarantineMessage) : undefined;
    case 'roomAnswer':
      return isCapacityAnswer(message) ? (message as CapacityMessage) : undefined;
    case 'roomWanted':
      return isId(message.memberId) && isCapacityRequest(message.wish)
        ? (message as CapacityMessage)
        : undefined;
    case 'serverBackoff':
      return isIncarnation(message.server) && hasFigures(message, ['retryAfterMs'])
        ? (message as BackoffMessage)
        : undefined;
    case 'serverCrash':
      return isCrash(message) ? message : undefined;
    case 'trialRequest':
      return isId(message.fingerprint) &&
        isId(message.memberId) &&
        isIdList(message.tried ?? []) &&
        hasFigures(message, ['requestNumber'])
        ? (message as QuarantineMessage)
        : undefined;
    case 'trialResponse':
      return isQuarantineList(message.reports) && hasFigures(message, ['requestNumber'])
        ? (message as QuarantineMessage)
        : undefined;
    default:
      return undefined;
  }
}

/**
 * Parses a snapshot.
 *
 * @param text - body of a response
 * @returns the snapshot, or undefined when the body is none
 */
export function parseSnapshot(text: string): PeerSnapshot | undefined {
  const snapshot = parse(text) as Partial<PeerSnapshot> | undefined;
  const isSnapshot =
    Number.isFinite(snapshot?.era) &&
    Number.isFinite(snapshot?.revision) &&
    (snapshot?.knownVersion === undefined || Number.isFinite(snapshot.knownVersion)) &&
    isLimitList(snapshot?.limits) &&
    Array.isArray(snapshot?.servers) &&
    Array.isArray(snapshot.members);
  if (!isSnapshot) {
    return undefined;
  }
  const { configuration, members, servers, ...others } = snapshot as PeerSnapshot;
  return {
    ...withEvacuations(others),
    ...(isServingConfiguration(configuration) ? { configuration } : {}),
    members: members.filter(isMemberAddress),
    servers: servers.filter(isRegisteredServer),
  };
}

/**
 * Parses a configuration as another daemon sends it.
 *
 * @param bytes - compressed body of a response
 * @returns the configuration, or undefined when the body is none
 */
export function parseConfiguration(bytes: Buffer): ServingConfiguration | undefined {
  const configuration = parse(inflate(bytes));
  return isServingConfiguration(configuration) ? configuration : undefined;
}

/** Whether a value is the report on a quarantine, from another daemon or from the platform's store. */
export function isQuarantineReport(value: object): value is QuarantineReport {
  const report: Partial<QuarantineReport> = value;
  return (
    isId(report.fingerprint) &&
    QUARANTINE_STAGES.has(report.stage ?? '') &&
    hasFigures(report, ['ageMs', 'episode', 'idleMs', 'trials']) &&
    (report.lastTrialAgeMs === undefined || Number.isFinite(report.lastTrialAgeMs)) &&
    Array.isArray(report.crashAgesMs) &&
    report.crashAgesMs.every((ageMs) => Number.isFinite(ageMs)) &&
    (report.trialHistory === undefined || isListOf(report.trialHistory, isTrialReport))
  );
}

function isTrialReport(trial: TrialReport): boolean {
  return (
    isIdList(trial.fingerprints) &&
    hasFigures(trial, ['grantAgeMs']) &&
    (trial.crashAgeMs === undefined || Number.isFinite(trial.crashAgeMs))
  );
}

/**
 * Encodes a configuration for another daemon.
 *
 * @param configuration - the configuration
 * @returns the compressed body of a response
 */
export function encodeConfiguration(configuration: ServingConfiguration): Buffer {
  return deflateRawSync(JSON.stringify(configuration));
}

/**
 * Reduces a message to the version of the configuration. Its changes apply to no daemon.
 *
 * @param message - a message with changes
 * @returns the message without them
 */
export function withoutChanges(message: ChangesMessage): ChangesMessage {
  return { ...message, members: [], membersGone: [], servers: [], sinceRevision: message.revision };
}

/**
 * Converts the servers of a snapshot to changes. A server that the sender knows to be leaving is
 * marked so, even if its entry in the store says otherwise.
 *
 * @param snapshot - state of another daemon
 * @returns one change for each server
 */
export function serverChangesOf(snapshot: PeerSnapshot): readonly ServerChange[] {
  return snapshot.servers.map(({ lapsedUntilMs, leaving, revision, server }) => ({
    isLapsed: lapsedUntilMs !== undefined,
    revision,
    server: { ...server, leaving },
    serverId: server.serverId,
  }));
}

function withEvacuations<T extends { readonly evacuations?: unknown }>(message: T): T {
  return message.evacuations === undefined
    ? message
    : { ...message, evacuations: unpackEvacuations(message.evacuations) };
}

/**
 * Counts that only some shares have go into lists of their own in the order of the shares, since daemons
 * of earlier builds drop shares of another length.
 */
function packShares(shares: readonly EngineShare[]): {
  readonly longRuns?: readonly number[];
  readonly overdueRuns?: readonly number[];
  readonly shares: readonly PackedShare[];
} {
  const longRuns = shares.map((share) => share.longRuns ?? 0);
  const overdueRuns = shares.map((share) => share.overdueRuns ?? 0);
  const hasAny = (counts: readonly number[]): boolean => counts.some((count) => count > 0);
  return {
    ...(hasAny(longRuns) && { longRuns }),
    ...(hasAny(overdueRuns) && { overdueRuns }),
    shares: shares.map(packShare),
  };
}

function packShare(share: EngineShare): PackedShare {
  const { plannedTokens, readingTokens, runs, serverId, usedTokens } = share;
  return [serverId, Math.round(plannedTokens), Math.round(readingTokens), usedTokens, runs];
}

function unpackShares<
  T extends {
    readonly longRuns?: unknown;
    readonly overdueRuns?: unknown;
    readonly shares: readonly unknown[];
    readonly shortage?: unknown;
  },
>(message: T): T {
  const { longRuns, overdueRuns, shortage: packedShortage, ...others } = message;
  const shares = message.shares.flatMap((packed, index): readonly EngineShare[] => {
    if (!isPackedShare(packed)) {
      return [];
    }
    const [serverId, plannedTokens, readingTokens, usedTokens, runs] = packed;
    const long = countAt(longRuns, index, runs);
    const overdue = countAt(overdueRuns, index, runs);
    const counts = {
      ...(long !== undefined && { longRuns: long }),
      ...(overdue !== undefined && { overdueRuns: overdue }),
    };
    return [{ ...counts, plannedTokens, readingTokens, runs, serverId, usedTokens }];
  });
  const shortage = unpackShortage(packedShortage);
  return { ...others, shares, ...(shortage ? { shortage } : {}) } as unknown as T;
}

/** Count of a share in a list of its own; undefined when there is none or it exceeds the runs. */
function countAt(counts: unknown, index: number, runs: number): number | undefined {
  const count: unknown = Array.isArray(counts) ? counts[index] : undefined;
  return typeof count === 'number' && count > 0 && count <= runs ? count : undefined;
}

function isPackedShare(value: unknown): value is PackedShare {
  return (
    Array.isArray(value) &&
    value.length === PACKED_SHARE_LENGTH &&
    typeof value[0] === 'string' &&
    value.slice(1).every((figure) => Number.isFinite(figure))
  );
}

function isChanges(message: Partial<ChangesMessage>): message is ChangesMessage {
  return (
    Number.isFinite(message.era) &&
    Number.isFinite(message.revision) &&
    Number.isFinite(message.sinceRevision) &&
    (message.configurationVersion === undefined || Number.isFinite(message.configurationVersion)) &&
    (message.host === undefined || isWord(message.host)) &&
    isListOf(message.members, isMemberAddress) &&
    isIdList(message.membersGone) &&
    isListOf(message.servers, (change) => isId(change.serverId) && Number.isFinite(change.revision))
  );
}

function isDigest(digest: Partial<DomainDigest> | undefined): boolean {
  return (
    digest === undefined ||
    (isObject(digest) &&
      isWord(digest.host) &&
      hasFigures(digest, ['configurationVersion', 'era', 'revision']) &&
      isListOf(digest.members, isMemberAddress))
  );
}

function isCapacityAnswer(message: Partial<CapacityMessage>): boolean {
  return (
    message.kind === 'roomAnswer' &&
    isId(message.requestId) &&
    isId(message.serverId) &&
    hasFigures(message.totals, ['plannedTokens', 'readingTokens', 'runs', 'usedTokens']) &&
    (message.totals?.longRuns === undefined || Number.isFinite(message.totals.longRuns)) &&
    (message.totals?.overdueRuns === undefined || Number.isFinite(message.totals.overdueRuns))
  );
}

function isCapacityRequest(request: Partial<CapacityRequest> | undefined): boolean {
  return (
    isId(request?.requestId) &&
    isId(request.serverId) &&
    (request.priority === undefined || hasFigures(request.priority, ['rank', 'slackMs'])) &&
    hasFigures(request, [
      'believedReadingTokens',
      'plannedTokens',
      'promptTokens',
      'unreadTokens',
    ]) &&
    (request.longRuns === undefined || Number.isFinite(request.longRuns)) &&
    (request.maxUnseenTokens === undefined || Number.isFinite(request.maxUnseenTokens))
  );
}

function isPermitRequest(
  message: Partial<Extract<PermitMessage, { kind: 'permitRequest' }>>,
): message is Extract<PermitMessage, { kind: 'permitRequest' }> {
  return (
    isId(message.memberId) &&
    isId(message.serverId) &&
    hasFigures(message, ['maxWaitMs', 'requestNumber']) &&
    (message.heldNumbers === undefined ||
      (Array.isArray(message.heldNumbers) &&
        message.heldNumbers.every((value) => Number.isFinite(value)))) &&
    isLimitList(message.limit && [message.limit])
  );
}

function isPermitResponse(
  message: Partial<Extract<PermitMessage, { kind: 'permitResponse' }>>,
): message is Extract<PermitMessage, { kind: 'permitResponse' }> {
  return (
    isId(message.serverId) &&
    hasFigures(message, ['requestNumber']) &&
    isObject(message.decision) &&
    isPermitDecision(message.decision) &&
    isLimitList(message.limit && [message.limit])
  );
}

function isPermitDecision(
  decision: Partial<Extract<PermitMessage, { kind: 'permitResponse' }>['decision']>,
): boolean {
  switch (decision.kind) {
    case 'declined':
      return hasFigures(decision, ['retryAfterMs']);
    case 'granted':
      return hasFigures(decision, ['waitMs']);
    default:
      return decision.kind === 'notOwner';
  }
}

function isLimitList(limits: readonly LimitReport[] | undefined): boolean {
  return (
    limits === undefined ||
    isListOf(
      limits,
      (limit) =>
        isId(limit.serverId) &&
        hasFigures(limit, ['ageMs', 'startedEpochMs']) &&
        (limit.maxRejectionsPerS === undefined || Number.isFinite(limit.maxRejectionsPerS)) &&
        (limit.requestsPerS === undefined || Number.isFinite(limit.requestsPerS)),
    )
  );
}

function isColdList(reports: readonly ColdReport[]): boolean {
  return isListOf(
    reports,
    (report) =>
      isId(report.serverId) && hasFigures(report, ['ageMs', 'remainingMs', 'startedEpochMs']),
  );
}

function isCrash(
  message: Partial<Extract<QuarantineMessage, { kind: 'serverCrash' }>>,
): message is Extract<QuarantineMessage, { kind: 'serverCrash' }> {
  return (
    hasFigures(message, ['ageMs']) &&
    isIdList(message.fingerprints) &&
    isIncarnation(message.server) &&
    isIdList(message.tried ?? []) &&
    (message.sinceSentMs === undefined ||
      (Array.isArray(message.sinceSentMs) &&
        message.sinceSentMs.every((elapsedMs) => Number.isFinite(elapsedMs))))
  );
}

function isIncarnation(server: Partial<ServerIncarnation> | undefined): boolean {
  return isId(server?.serverId) && hasFigures(server, ['startedEpochMs']);
}

function isQuarantineList(reports: readonly QuarantineReport[] | undefined): boolean {
  return isListOf(reports, isQuarantineReport);
}

function isMoveRequest(request: Partial<MoveRequest> | undefined): boolean {
  return (
    isId(request?.memberId) &&
    isId(request.requestId) &&
    isId(request.sourceId) &&
    isIdList(request.targetIds)
  );
}

function isId(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

function isIdList(value: unknown): boolean {
  return Array.isArray(value) && value.every(isId);
}

function isListOf<T>(value: readonly T[] | undefined, isEntry: (entry: T) => boolean): boolean {
  return (
    Array.isArray(value) &&
    value.every((entry: unknown) => isObject(entry) && isEntry(entry as unknown as T))
  );
}

function hasFigures<T extends object>(
  value: T | undefined,
  names: readonly (string & keyof T)[],
): boolean {
  return isObject(value) && names.every((name) => Number.isFinite(value[name]));
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

function inflate(bytes: Buffer): string {
  try {
    return inflateRawSync(bytes).toString();
  } catch {
    // Not compressed data: as with text that is not JSON, callers ignore it.
    return '';
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Not JSON: callers ignore what is not a message.
    return undefined;
  }
}
