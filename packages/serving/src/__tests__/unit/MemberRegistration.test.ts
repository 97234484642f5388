import type { LeaseId, MemberId, StoreEra } from '@laburnumgap/kernel';
import { success, toId, toNumberId } from '@laburnumgap/kernel';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { MemberRegistration } from '../../index.js';

const LEASE_MS = 9_000;

// A renewal that was answered after a new registration once took the place of that one's renewals.
test.serial('only the lease of the last registration is renewed', async (t) => {
  const timers = FakeTimers.install({ toFake: ['clearTimeout', 'setTimeout'] });
  t.teardown(() => {
    timers.uninstall();
  });
  const renewed: string[] = [];
  let registrations = 0;
  let answerRenewal: (() => void) | undefined;
  const registration = new MemberRegistration({
    currentEra: () => toNumberId<StoreEra>(1),
    directory: {
      register: () => {
        registrations += 1;
        const leaseId = toId<LeaseId>(`lease ${registrations}`);
        return Promise.resolve(success({ leaseId, leaseMs: LEASE_MS }));
      },
      renewLease: (leaseId) => {
        renewed.push(leaseId);
        return new Promise((resolve) => {
          answerRenewal = () => {
            resolve(success('renewed'));
          };
        });
      },
    },
    isDraining: () => false,
    log: { info: () => undefined, warn: () => undefined },
    member: { host: '10.0.0.1', memberId: toId<MemberId>('m1') },
  });
  await registration.register();
  await timers.tickAsync(LEASE_MS / 3);
  await registration.register();
  answerRenewal?.();
  await timers.tickAsync(LEASE_MS / 3);
  registration.stop();
  await timers.tickAsync(LEASE_MS);
  t.deepEqual(renewed, ['lease 1', 'lease 2']);
});
