import type {
  EngineShare,
  EngineTotals,
  MoveWish,
  RegisteredServer,
  RoomWish,
  ServerChange,
  ServingConfiguration,
} from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, RequestId, Revision, ServerId } from '@laburnumgap/kernel';
import type { SyncPosition } from './LagDetector.js';
import type { MemberAddress } from './ServingPorts.js';

/** What a daemon tells the others again and again. */
export interface PeerHeartbeat extends SyncPosition {
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** Tells a restart of the daemon. */
  readonly incarnation: number;
  /** The daemon takes no new connections. */
  readonly isDraining: boolean;
  /** Servers that leave by word of mouth, while the store says nothing. */
  readonly leavingIds: readonly ServerId[];
  readonly memberId: MemberId;
  /** The daemon stops; it is to be forgotten. */
  readonly isStopping: boolean;
  readonly sequence: number;
  readonly shares: readonly EngineShare[];
  /** The platform's store does not answer this daemon. */
  readonly storeIsAway: boolean;
}

/** Talk about turns on the engines' links. */
export type MoveMessage =
  | { readonly kind: 'moveDone'; readonly requestId: RequestId }
  | { readonly kind: 'moveQueued'; readonly requestId: RequestId }
  | { readonly kind: 'moveTurn'; readonly requestId: RequestId; readonly targetId: ServerId }
  | { readonly kind: 'moveWanted'; readonly wish: MoveWish };

/** Talk about room at an engine, between a daemon and the owner of the engine. */
export type RoomMessage =
  | {
      readonly isGranted: boolean;
      readonly kind: 'roomAnswer';
      readonly requestId: RequestId;
      readonly serverId: ServerId;
      readonly totals: EngineTotals;
    }
  | { readonly kind: 'roomWanted'; readonly memberId: MemberId; readonly wish: RoomWish };

/** What a daemon that watches the store passes on. */
export interface ChangesMessage {
  readonly configurationVersion: number;
  readonly host: string;
  readonly kind: 'changes';
  readonly members: readonly MemberAddress[];
  readonly membersGone: readonly MemberId[];
  readonly revision: Revision;
  readonly servers: readonly ServerChange[];
  /** The changes follow this revision without a gap. */
  readonly sinceRevision: Revision;
}

/** What all daemons of a failure domain have at the engines, for the other domains. */
export interface DomainLoadMessage {
  readonly failureDomain: FailureDomainId;
  readonly kind: 'domainLoad';
  readonly shares: readonly EngineShare[];
}

/** A message between daemons beside the beats. */
export type PeerMessage = ChangesMessage | DomainLoadMessage | MoveMessage | RoomMessage;

/** All that a daemon knows, for one that the store does not answer. */
export interface PeerSnapshot {
  readonly configuration?: ServingConfiguration;
  readonly members: readonly MemberAddress[];
  readonly revision: Revision;
  readonly servers: readonly RegisteredServer[];
}

/** A share as it is sent, some 40 bytes: engine, planned, reading and used tokens, runs. */
type PackedShare = readonly [ServerId, number, number, number, number];

const PACKED_SHARE_LENGTH = 5;

/**
 * Writes a beat or a message.
 *
 * @param message - the message
 * @returns its text
 */
export function encodeMessage(message: PeerHeartbeat | PeerMessage): string {
  const text =
    'shares' in message ? { ...message, shares: message.shares.map(packShare) } : message;
  return JSON.stringify(text);
}

/**
 * Reads a beat.
 *
 * @param bytes - a datagram
 * @returns the beat, or undefined when it is none
 */
export function parseHeartbeat(bytes: Buffer): PeerHeartbeat | undefined {
  const beat = parse(bytes.toString()) as Partial<PeerHeartbeat> | undefined;
  const isBeat =
    typeof beat?.memberId === 'string' &&
    typeof beat.host === 'string' &&
    typeof beat.sequence === 'number' &&
    typeof beat.revision === 'number' &&
    Array.isArray(beat.leavingIds) &&
    Array.isArray(beat.shares);
  return isBeat ? unpackShares(beat as PeerHeartbeat) : undefined;
}

/**
 * Reads a message that is no beat.
 *
 * @param bytes - a datagram
 * @returns the message, or undefined when it is none
 */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const message = parse(bytes.toString()) as Partial<PeerMessage> | undefined;
  switch (message?.kind) {
    case 'changes':
      return isChanges(message) ? message : undefined;
    case 'domainLoad':
      return Array.isArray(message.shares) ? unpackShares(message as DomainLoadMessage) : undefined;
    case 'moveDone':
    case 'moveQueued':
    case 'moveTurn':
      return typeof message.requestId === 'string' ? (message as MoveMessage) : undefined;
    case 'moveWanted':
      return Array.isArray(message.wish?.targetIds) ? (message as MoveMessage) : undefined;
    case 'roomAnswer':
      return typeof message.totals === 'object' ? (message as RoomMessage) : undefined;
    case 'roomWanted':
      return typeof message.wish === 'object' ? (message as RoomMessage) : undefined;
    default:
      return undefined;
  }
}

/**
 * Reads a snapshot.
 *
 * @param text - the body of an answer
 * @returns the snapshot, or undefined when it is none
 */
export function parseSnapshot(text: string): PeerSnapshot | undefined {
  const snapshot = parse(text) as Partial<PeerSnapshot> | undefined;
  const isSnapshot =
    typeof snapshot?.revision === 'number' &&
    Array.isArray(snapshot.servers) &&
    Array.isArray(snapshot.members);
  return isSnapshot ? (snapshot as PeerSnapshot) : undefined;
}

/** The servers of a snapshot as changes, with the leaving marks of the daemon that sent it. */
export function serverChangesOf(snapshot: PeerSnapshot): readonly ServerChange[] {
  return snapshot.servers.map(({ leaving, revision, server }) => ({
    revision,
    server: { ...server, leaving },
    serverId: server.serverId,
  }));
}

function packShare(share: EngineShare): PackedShare {
  const { plannedTokens, readingTokens, runs, serverId, usedTokens } = share;
  return [serverId, Math.round(plannedTokens), Math.round(readingTokens), usedTokens, runs];
}

function unpackShares<T extends { readonly shares: readonly unknown[] }>(message: T): T {
  const shares = message.shares
    .filter(isPackedShare)
    .map(([serverId, plannedTokens, readingTokens, usedTokens, runs]): EngineShare => ({
      plannedTokens,
      readingTokens,
      runs,
      serverId,
      usedTokens,
    }));
  return { ...message, shares };
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
    typeof message.revision === 'number' &&
    typeof message.sinceRevision === 'number' &&
    Array.isArray(message.members) &&
    Array.isArray(message.membersGone) &&
    Array.isArray(message.servers)
  );
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Not ours: the caller treats it as no message.
    return undefined;
  }
}
