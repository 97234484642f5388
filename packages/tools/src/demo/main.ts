import { Deployment } from '../deployment/Deployment.js';
import { createCtl } from '../deployment/DeploymentCtl.js';
import { loadFirm } from '../faults/FaultsFirms.js';
import { DemoReport } from './DemoReport.js';
import type { DemoContext } from './DemoSteps.js';
import { callTwice, changeContract, killEngine, streamAnswer } from './DemoSteps.js';

const ENTRY_VMS = 3;
const ENGINES = 3;

const report = new DemoReport((text) => process.stdout.write(text));
const firm = await loadFirm('hoa-sen');
const deployment = new Deployment({
  ...firm.deployment,
  engines: firm.deployment.engines.slice(0, ENGINES),
  entryVms: firm.deployment.entryVms.slice(0, ENTRY_VMS),
});

try {
  report.step('Stand-ins and the daemons of 3 entry VMs start');
  await deployment.start();
  report.check('every daemon is ready', true, `${deployment.daemons.size} daemons`);
  const context: DemoContext = { ctl: await createCtl(deployment), deployment, report };
  await streamAnswer(context);
  await callTwice(context);
  await killEngine(context);
  await changeContract(context);
  report.step('Everything is stopped');
  const codes = [...(await deployment.stop()).values()];
  report.check(
    'every daemon ended with exit code 0',
    codes.every((code) => code === 0),
    codes.join(' '),
  );
} finally {
  await deployment.kill();
}
report.summary();
process.exit(report.allPassed ? 0 : 1);
