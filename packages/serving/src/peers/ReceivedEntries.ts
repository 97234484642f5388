import type {
  BackendServer,
  RegisteredServer,
  RouteTarget,
  ServerChange,
  ServingConfiguration,
  ServingRoute,
  ServingService,
  ServingTeam,
} from '@laburnumgap/dispatch';
import { isHeaderWord } from '../HeaderLists.js';
import type { MemberAddress } from '../ServingPorts.js';

const MAX_PORT = 65_535;
const REQUEST_KINDS: ReadonlySet<string> = new Set(['idempotent', 'once', 'stream']);

/** Whether a value is the entry of a server whose fields can be used, as another daemon sends it. */
export function isBackendServer(value: unknown): value is BackendServer {
  const server = toPartial<BackendServer>(value);
  const { leaving, port = 0, remainingColdMs, slots = -1 } = server ?? {};
  return (
    server !== undefined &&
    isWord(server.serverId) &&
    isWord(server.service) &&
    isWord(server.failureDomain) &&
    isWord(server.host) &&
    typeof leaving === 'boolean' &&
    Number.isInteger(port) &&
    port > 0 &&
    port <= MAX_PORT &&
    Number.isSafeInteger(slots) &&
    slots >= 0 &&
    Number.isFinite(server.startedEpochMs) &&
    isOptionalFigure(remainingColdMs)
  );
}

/** Drops the server of a change if it cannot be used, like an unreadable entry of the store. */
export function withUsableServer(change: ServerChange): ServerChange {
  const { server, ...others } = change;
  const isUsable = isBackendServer(server) && server.serverId === change.serverId;
  return isUsable ? change : others;
}

/** Whether a value is a registered server, as a snapshot contains it. */
export function isRegisteredServer(value: unknown): value is RegisteredServer {
  const entry = toPartial<RegisteredServer>(value);
  return (
    entry !== undefined &&
    typeof entry.leaving === 'boolean' &&
    Number.isFinite(entry.revision) &&
    isBackendServer(entry.server)
  );
}

/** Whether a value is the address of a daemon. */
export function isMemberAddress(value: unknown): value is MemberAddress {
  const member = toPartial<MemberAddress>(value);
  return isWord(member?.host) && isText(member.memberId);
}

/** Whether a value is a configuration, as another daemon sends it. */
export function isServingConfiguration(value: unknown): value is ServingConfiguration {
  const configuration = toPartial<ServingConfiguration>(value);
  const limits = toPartial<ServingConfiguration['limits']>(configuration?.limits);
  return (
    configuration !== undefined &&
    Number.isFinite(configuration.version) &&
    limits !== undefined &&
    areFigures(Object.values(limits)) &&
    isArrayOf(configuration.routes, isRoute) &&
    isArrayOf(configuration.services, isService) &&
    isArrayOf(configuration.teams, isTeam)
  );
}

/** Whether a value is a word that can be an id or a host in a header. */
export function isWord(value: unknown): value is string {
  return typeof value === 'string' && isHeaderWord(value);
}

function isRoute(value: unknown): boolean {
  const route = toPartial<ServingRoute>(value);
  return (
    isText(route?.host) &&
    isText(route.name) &&
    isText(route.pathPrefix) &&
    REQUEST_KINDS.has(route.kind ?? '') &&
    areFigures([
      route.maxEventGapMs,
      route.maxServers,
      route.rank,
      route.targetLatencyMs,
      route.timeoutMs,
    ]) &&
    isArrayOf(route.targets, isTarget)
  );
}

function isTarget(value: unknown): boolean {
  const target = toPartial<RouteTarget>(value);
  return isText(target?.service) && Number.isFinite(target.weight);
}

function isService(value: unknown): boolean {
  const service = toPartial<ServingService>(value);
  const { engine } = service ?? {};
  return (
    isText(service?.service) &&
    Number.isFinite(service.maxConnections) &&
    isOptionalFigure(service.coldRequestsPerS) &&
    isOptionalFigure(service.coldStartMs) &&
    (engine === undefined ||
      areFigures([
        engine.bytesPerToken,
        engine.linkMbps,
        engine.memoryTokens,
        engine.slots,
        engine.tokensPerEvent,
      ]))
  );
}

function isTeam(value: unknown): boolean {
  const team = toPartial<ServingTeam>(value);
  return isText(team?.teamId) && isArrayOf(team.apiKeys, isText) && isOptionalFigure(team.rank);
}

function toPartial<T>(value: unknown): Partial<T> | undefined {
  return typeof value === 'object' && value !== null ? value : undefined;
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

function isOptionalFigure(value: unknown): boolean {
  return value === undefined || Number.isFinite(value);
}

function areFigures(values: readonly unknown[]): boolean {
  return values.every(Number.isFinite);
}

function isArrayOf(value: unknown, isEntry: (entry: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isEntry);
}
