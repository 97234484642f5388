import type { ClaimBenchLoad } from './ClaimBenchRun.js';
import { ClaimBenchRun } from './ClaimBenchRun.js';

const RATES_PER_SECOND = [0.1, 1, 10, 100];
const VIRTUAL_MS = 20 * 60_000;
const LOAD: Omit<ClaimBenchLoad, 'claimsPerSecond'> = {
  answerBytes: 300,
  callMs: 50,
  storeMs: 5,
  virtualMs: VIRTUAL_MS,
};

process.stdout.write(
  'claims/s writes/s writes/claim bytes/claim journalKiB largestKiB p50Ms p99Ms cpuUs/claim\n',
);
for (const claimsPerSecond of RATES_PER_SECOND) {
  const result = new ClaimBenchRun({ ...LOAD, claimsPerSecond }).run();
  const columns = [
    claimsPerSecond,
    result.writesPerSecond.toFixed(2),
    (result.writesPerSecond / claimsPerSecond).toFixed(2),
    result.writtenBytesPerClaim.toFixed(0),
    (result.journalBytes / 1024).toFixed(0),
    (result.largestValueBytes / 1024).toFixed(1),
    result.claimP50Ms,
    result.claimP99Ms,
    result.cpuMicrosecondsPerClaim.toFixed(0),
  ];
  process.stdout.write(`${columns.join(' ')}\n`);
}
