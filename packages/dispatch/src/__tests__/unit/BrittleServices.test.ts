import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { BackendServer } from '../../index.js';
import { BrittleServices, ServerLimits } from '../../index.js';

const DESK = toId<ServiceId>('desk');

function serverOf(number: number, service = DESK): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.1',
    leaving: false,
    port: number,
    serverId: toId<ServerId>(`${service}-${number}`),
    service,
    slots: 6,
    startedEpochMs: 0,
  };
}

function say(
  limits: ServerLimits,
  { serverId }: BackendServer,
  isBrittle: boolean,
  nowMs = 0,
): void {
  limits.record({
    maxRejectionsPerS: isBrittle ? 5 : undefined,
    observedMs: nowMs,
    requestsPerS: undefined,
    serverId,
    startedEpochMs: 0,
  });
}

test('load pattern: a new server of a brittle service is taken for brittle before its first answer', (t) => {
  const limits = new ServerLimits();
  const servers = [1, 2, 3, 4].map((number) => serverOf(number));
  const services = new BrittleServices({
    limits,
    serversOf: (service) => (service === DESK ? servers : []),
  });
  const added = serverOf(4);
  t.false(services.includes(added, 0));
  say(limits, serverOf(1), true);
  t.false(services.includes(added, 200));
  say(limits, serverOf(2), true);
  t.true(services.includes(added, 400));
  t.false(services.includes(serverOf(1, toId<ServiceId>('other')), 400));
  say(limits, serverOf(1), false, 1_000);
  say(limits, serverOf(2), false, 1_000);
  t.false(services.includes(added, 1_200));
});
