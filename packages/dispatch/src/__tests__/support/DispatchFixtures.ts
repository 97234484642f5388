import type { FailureDomainId, Revision, ServerId, ServiceId, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type {
  BackendServer,
  EngineLimits,
  PromptShape,
  ServerChange,
  ServingConfiguration,
  ServingRoute,
} from '../../index.js';

export const ENGINE: EngineLimits = {
  bytesPerToken: 18_432,
  canCopy: true,
  canMove: true,
  linkMbps: 2_700,
  memoryTokens: 34_000,
  slots: 24,
  tokensPerEvent: 4,
};

export function serverOf(name: string, overrides: Partial<BackendServer> = {}): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.1',
    leaving: false,
    port: 80,
    serverId: toId<ServerId>(name),
    service: toId<ServiceId>('engines'),
    slots: 24,
    startedEpochMs: 1,
    ...overrides,
  };
}

export function changeOf(
  name: string,
  revision: number,
  server?: Partial<BackendServer>,
): ServerChange {
  return {
    revision: toNumberId<Revision>(revision),
    server: server && serverOf(name, server),
    serverId: toId<ServerId>(name),
  };
}

export function promptOf(overrides: Partial<PromptShape> = {}): PromptShape {
  return {
    expectedOutputTokens: 600,
    maxOutputTokens: 2_000,
    model: 'm',
    parts: [],
    promptTokens: 3_000,
    ...overrides,
  };
}

export function routeOf(overrides: Partial<ServingRoute> = {}): ServingRoute {
  return {
    host: 'shop.example',
    kind: 'idempotent',
    maxEventGapMs: 0,
    maxServers: 2,
    mayRestartStream: false,
    name: 'route',
    needsKey: true,
    pathPrefix: '/',
    rank: 1,
    targetLatencyMs: 100,
    targets: [{ service: toId<ServiceId>('engines'), weight: 1 }],
    timeoutMs: 1_000,
    ...overrides,
  };
}

export function configurationOf(
  routes: readonly ServingRoute[],
  version = 1,
): ServingConfiguration {
  return {
    limits: {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 1_000_000,
      maxHeaderBytes: 16_384,
    },
    routes,
    services: [{ healthPath: '/health', maxConnections: 10, service: toId<ServiceId>('engines') }],
    teams: [{ apiKeys: ['key-1', 'key-2'], teamId: toId<TeamId>('team') }],
    version,
  };
}
