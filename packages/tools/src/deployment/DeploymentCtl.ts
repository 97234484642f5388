import { execFile } from 'node:child_process';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import type { Deployment } from './Deployment.js';

/** Exit code and combined output of a laburnumctl run. */
export interface CtlResult {
  readonly code: number;
  readonly output: string;
}

/** Runs laburnumctl against a deployment. */
export type RunCtl = (...args: readonly string[]) => Promise<CtlResult>;

const PROGRAM = fileURLToPath(import.meta.resolve('@laburnumgap/ctl')).replace(
  /index\.js$/,
  'main.js',
);

/**
 * Writes a laburnumctl settings file for a deployment.
 *
 * @param deployment - a started deployment
 * @returns a function that runs laburnumctl with these settings
 */
export async function createCtl(deployment: Deployment): Promise<RunCtl> {
  const folder = await mkdtemp(join(tmpdir(), 'laburnumctl-'));
  const settingsFile = join(folder, 'laburnumctl.yaml');
  await writeFile(
    settingsFile,
    stringify({
      operator: 'duty-operator',
      peers: { secret: deployment.peerSecret },
      platform: { storeUrl: `http://${deployment.addressOf('platform')}` },
    }),
  );
  return (...args) =>
    new Promise((resolve) => {
      execFile(
        process.execPath,
        [PROGRAM, ...args, '--settings', settingsFile],
        (error, stdout, stderr) => {
          const code = typeof error?.code === 'number' ? error.code : 0;
          resolve({ code, output: `${stdout}${stderr}` });
        },
      );
    });
}
