import { createSocket } from 'node:dgram';
import { EngineLoad } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { FIRST_POSITION, PeerLink, PeerSockets, PortOpener } from '../../index.js';

test('starting fails when the port for datagrams is taken', async (t) => {
  const host = '127.0.0.1';
  const other = createSocket('udp4');
  await new Promise<void>((resolve) => {
    other.bind(0, host, resolve);
  });
  const position = { ...FIRST_POSITION, configurationVersion: 0 };
  const log = { info: () => undefined, warn: () => undefined };
  const link = new PeerLink({
    clock: { nowMs: () => 0 },
    configuration: () => undefined,
    failureDomain: toId<FailureDomainId>('a'),
    host,
    incarnation: 1,
    isCutOff: () => false,
    isDraining: () => false,
    isStoreDown: () => false,
    leavingServers: () => [],
    limits: () => [],
    load: new EngineLoad(),
    localShares: () => [],
    log,
    memberId: toId<MemberId>('m1'),
    onLagging: () => undefined,
    onLeaving: () => undefined,
    onLimits: () => undefined,
    onQuarantines: () => undefined,
    onStoreAge: () => undefined,
    quarantines: () => [],
    onMessage: () => undefined,
    position: () => position,
    seedHosts: [],
    storeAgeMs: () => undefined,
    snapshot: () => ({ ...FIRST_POSITION, members: [], servers: [] }),
    transport: new PeerSockets({
      heartbeatPort: other.address().port,
      host,
      ports: new PortOpener({ clock: { nowMs: () => 0 }, log }),
      snapshotPort: 0,
    }),
  });
  await t.throwsAsync(link.start(), { code: 'EADDRINUSE' });
  other.close();
});
