import type { BackendServer, RegisteredServer, ServingRoute } from '@laburnumgap/dispatch';
import { EngineLoad, PrefixCacheIndex, RouteTable } from '@laburnumgap/dispatch';
import type { FailureDomainId, Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import { EngineSpeedCoordinator } from '../../servers/EngineSpeedCoordinator.js';
import { NO_SERVING_METRICS } from '../../ServingMetrics.js';

const SERVICE = toId<ServiceId>('engines');
const ROUTE: ServingRoute = {
  host: 'h',
  kind: 'stream',
  maxEventGapMs: 180,
  maxServers: 2,
  mayRestartStream: false,
  name: 'r',
  needsKey: false,
  pathPrefix: '/',
  rank: 0,
  targetLatencyMs: 1_806,
  targets: [{ service: SERVICE, weight: 1 }],
  timeoutMs: 60_000,
};

function serverOf(name: string, startedEpochMs = 1): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>('a'),
    host: 'h',
    leaving: false,
    port: 80,
    serverId: toId<ServerId>(name),
    service: SERVICE,
    slots: 24,
    startedEpochMs,
  };
}

class Daemon {
  nowMs = 0;
  readonly events: string[] = [];
  readonly servers = new Map<ServerId, RegisteredServer>();
  readonly speeds: EngineSpeedCoordinator;

  constructor(sharesShortage = false, weighsPrefixes = true) {
    const limits = { headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1 };
    const configuration = { limits, routes: [ROUTE], services: [], teams: [], version: 1 };
    const table = new RouteTable(configuration);
    this.speeds = new EngineSpeedCoordinator({
      cachedPrefixes: new PrefixCacheIndex(),
      clock: { nowMs: () => this.nowMs },
      load: new EngineLoad(),
      log: {
        info: (event) => this.events.push(event),
        warn: (event) => this.events.push(event),
      },
      metrics: NO_SERVING_METRICS,
      registry: {
        all: () => [...this.servers.values()],
        get: (serverId) => this.servers.get(serverId),
      },
      routes: () => table,
      sharesShortage,
      weighsPrefixes,
    });
    this.register(serverOf('a'));
    this.register(serverOf('b'));
  }

  register(server: BackendServer): void {
    const revision = toNumberId<Revision>(1);
    this.servers.set(server.serverId, { leaving: false, revision, server });
  }

  /** Streams run at both engines, with reports to a peer twice a second. */
  observe(durationMs: number, slowEventMs: number, peer?: Daemon): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 100) {
      this.speeds.recordEvents(serverOf('a'), 16 * 6, 6);
      this.speeds.recordEvents(serverOf('b'), slowEventMs * 3, 3);
      this.speeds.onTick(this.nowMs);
      if (peer) {
        peer.nowMs = this.nowMs;
        const reports: unknown = JSON.parse(JSON.stringify(this.speeds.reports('domain')));
        peer.speeds.onReports(reports, true);
        peer.speeds.onTick(this.nowMs);
      }
    }
  }

  input(): ReturnType<EngineSpeedCoordinator['inputFor']> {
    return this.speeds.inputFor({ isMove: false, route: ROUTE, service: SERVICE, waitedMs: 100 });
  }
}

test('uneven engines are logged once, and placement gets the limits of the routes', (t) => {
  const daemon = new Daemon();
  daemon.observe(20_000, 34);
  t.deepEqual(daemon.events, ['engines-uneven']);
  const { uneven, weighsPrefixes } = daemon.input();
  t.is(uneven?.longStreamGapMs, 180);
  t.is(uneven?.untilTargetMs, 1_706);
  t.true(weighsPrefixes);
});

test('even engines are ranked as before', (t) => {
  const daemon = new Daemon();
  daemon.observe(20_000, 20);
  t.deepEqual(daemon.events, []);
  t.is(daemon.input().uneven, undefined);
  t.is(daemon.input().weighsPrefixes, undefined);
});

test('prefixes are weighed in a shortage, unless the option excludes it', (t) => {
  t.true(new Daemon(true).input().weighsPrefixes);
  t.is(new Daemon(true, false).input().weighsPrefixes, undefined);
});

test('a daemon without streams learns from the reports of another one', (t) => {
  const [daemon, peer] = [new Daemon(), new Daemon()];
  daemon.observe(20_000, 34, peer);
  t.deepEqual(peer.events, ['engines-uneven']);
  t.is(Math.round(peer.input().speedOf?.(toId<ServerId>('b'))?.eventMs ?? 0), 34);
});

test('reports on another start of an engine are not recorded', (t) => {
  const [daemon, peer] = [new Daemon(), new Daemon()];
  peer.register(serverOf('b', 2));
  daemon.observe(20_000, 34, peer);
  t.is(peer.input().speedOf?.(toId<ServerId>('b')), undefined);
});

test('reports follow each other at least 450 ms apart, however often the load changes', (t) => {
  const daemon = new Daemon();
  let messages = 0;
  for (let count = 0; count < 100; count += 1) {
    daemon.nowMs += 10;
    daemon.speeds.recordEvents(serverOf('a'), 30, 1);
    messages += daemon.speeds.reports('domain').length > 0 ? 1 : 0;
  }
  t.true(messages <= 3, `${messages}`);
});
