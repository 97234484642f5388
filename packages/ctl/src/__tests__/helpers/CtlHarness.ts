import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import type { Member, PlatformStore } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { encodeMember, memberKey } from '@laburnumgap/membership';
import { createMemoryStore } from '@laburnumgap/key-value';
import type { RpcClients } from '@laburnumgap/rpc';
import { createRpcClients } from '@laburnumgap/rpc';
import type { CtlEnvironment } from '../../index.js';
import { runCtl } from '../../index.js';

/** Root of the repository. */
export const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url));

/** Result of one run of the tool. */
export interface CtlRun {
  readonly errors: string;
  readonly exitCode: number;
  readonly output: string;
}

/** Runs the tool on an in-memory store, with the files of the repository and additional ones. */
export class CtlHarness {
  readonly files = new Map<string, string>();
  nowEpochMs = Date.UTC(2026, 11, 3, 12);
  stdin = '';
  private idCount = 0;

  constructor(
    readonly store: PlatformStore = createMemoryStore(),
    private readonly clients: RpcClients = createRpcClients('a-secret-of-the-tests'),
  ) {}

  /** Writes a daemon's registration to the store in the form that the membership package uses. */
  async registerMember(member: Partial<Member> = {}): Promise<void> {
    const completeMember: Member = {
      entryVm: toId('entry-1'),
      failureDomain: toId('zone-1'),
      incarnation: toId('one'),
      memberId: toId('entry-1-router'),
      region: toId('south-1'),
      role: 'router',
      rpcAddress: '127.0.0.1:1',
      ...member,
    };
    const key = memberKey(completeMember.role, completeMember.memberId);
    const writes = [{ key, kind: 'put' as const, value: encodeMember(completeMember) }];
    await this.store.commit({ guards: [], writes });
  }

  /** Runs a command line; the settings of an example are added unless the line has `--settings`. */
  async run(line: string): Promise<CtlRun> {
    const args = line.split(/\s+(?=(?:[^"]*"[^"]*")*[^"]*$)/).map((word) => word.replace(/"/g, ''));
    const { values } = parseArgs({ args, strict: false });
    const settings =
      'settings' in values ? [] : ['--settings', 'examples/hoa-sen/laburnumctl.yaml'];
    const errors: string[] = [];
    const output: string[] = [];
    const environment: CtlEnvironment = {
      connectClients: () => this.clients,
      connectStore: () => this.store,
      newId: () => {
        this.idCount += 1;
        return `id-${this.idCount}`;
      },
      nowEpochMs: () => this.nowEpochMs,
      readStdin: () => Promise.resolve(this.stdin),
      readText: (file) => {
        const fileText = this.files.get(file);
        return fileText === undefined
          ? readFile(`${ROOT}${file}`, 'utf8')
          : Promise.resolve(fileText);
      },
      wait: () => Promise.resolve(),
      writeError: (text) => errors.push(text),
      writeLine: (text) => output.push(text),
    };
    const exitCode = await runCtl(['node', 'laburnumctl', ...args, ...settings], environment);
    return { errors: errors.join('\n'), exitCode, output: output.join('\n') };
  }
}
