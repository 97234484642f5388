import { setTimeout as sleep } from 'node:timers/promises';
import { configuration, Servers, UsualTraffic } from './deployment.js';
import type { Fleet } from './fleet.js';
import { BOUNDS, IS_CALM, runCase } from './fleet.js';

/** Machines that lose power first, and those that do a second later. */
const FIRST_LOST = [1, 4];
const NEXT_LOST = [2, 5];
const SURVIVORS = [3, 6];
const SECOND_LOSS_AFTER_MS = 1_050;
const CALM_BEFORE_MS = 5_000;
const USUAL_INTERVAL_MS = 400;
const PROBE_INTERVAL_MS = 50;
const PROBE_MS = 4_500;

void runCase('14', async (fleet) => {
  const servers = new Servers(fleet);
  const traffic = new UsualTraffic(fleet, 'key-usual');
  try {
    for (const id of ['desk-1', 'desk-2', 'desk-3']) {
      await servers.add(id, 'desk');
    }
    for (const id of ['engine-1', 'engine-2', 'engine-3', 'engine-4']) {
      await servers.add(id, 'engines');
    }
    const tenants = { usual: ['key-usual'], withdrawn: ['key-withdrawn'] };
    fleet.store.put('op/config', configuration(7, tenants));
    traffic.start(await fleet.startAll(), USUAL_INTERVAL_MS);
    await sleep(CALM_BEFORE_MS);
    return await withdraw(fleet, servers, traffic);
  } finally {
    traffic.stop();
    servers.stop();
  }
});

function lose(fleet: Fleet, traffic: UsualTraffic, machines: readonly number[]): void {
  if (!IS_CALM) {
    machines.forEach((machine) => {
      traffic.leave(machine);
      fleet.signal(machine, 'SIGKILL');
    });
  }
}

async function withdraw(fleet: Fleet, servers: Servers, traffic: UsualTraffic): Promise<number> {
  lose(fleet, traffic, FIRST_LOST);
  fleet.store.put('op/config', configuration(9, { usual: ['key-usual'], withdrawn: [] }));
  const acknowledgedMs = fleet.nowMs();
  fleet.note('the store acknowledges version 9, without key-withdrawn');
  setTimeout(() => {
    lose(fleet, traffic, NEXT_LOST);
  }, SECOND_LOSS_AFTER_MS);
  const sentMs = new Map<string, number>();
  const answers: Promise<void>[] = [];
  for (let number = 1; fleet.nowMs() - acknowledgedMs < PROBE_MS; number += 1) {
    for (const machine of SURVIVORS) {
      const id = `withdrawn-${machine}-${number}`;
      sentMs.set(id, fleet.nowMs());
      answers.push(
        fleet
          .call({ body: 'book', id, key: 'key-withdrawn', machine, path: `/book/${number}` })
          .then(({ status }) => {
            const afterMs = Math.round((sentMs.get(id) ?? 0) - acknowledgedMs);
            fleet.note(`${id}, sent ${afterMs} ms after the acknowledgement: ${status}`);
          }),
      );
    }
    await sleep(PROBE_INTERVAL_MS);
  }
  await Promise.all(answers);
  const late = servers.runs.filter(({ id, tenant }) => {
    const afterMs = (sentMs.get(id) ?? -Infinity) - acknowledgedMs;
    return tenant === 'withdrawn' && afterMs > BOUNDS.configApplyMs;
  });
  for (const { id, serverId, tenant } of servers.runs) {
    if (tenant === 'withdrawn') {
      fleet.note(`${serverId} has run ${id}`);
    }
  }
  for (const { id, serverId, tenant } of late) {
    const afterMs = Math.round((sentMs.get(id) ?? 0) - acknowledgedMs);
    fleet.note(`CONFIG: ${serverId} runs ${id} of ${tenant}, sent ${afterMs} ms after it`);
  }
  const ran = servers.runs.filter(({ tenant }) => tenant === 'withdrawn').length;
  fleet.note(`usual generations: ${traffic.answered} answered, ${traffic.failed} not`);
  fleet.note(`${ran} runs with the withdrawn key, ${late.length} of them too late`);
  return late.length;
}
