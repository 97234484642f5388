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

/** What a run of the tool gave. */
export interface CtlRun {
  readonly errors: string;
  readonly exitCode: number;
  readonly output: string;
}

/** The tool over a store in memory, with files of the repository and of its own. */
export class CtlBench {
  readonly files = new Map<string, string>();
  nowEpochMs = Date.UTC(2026, 11, 3, 12);
  stdin = '';
  private ids = 0;

  constructor(
    readonly store: PlatformStore = createMemoryStore(),
    private readonly clients: RpcClients = createRpcClients('a-secret-of-the-tests'),
  ) {}

  /** Registers a daemon as membership does. */
  async register(member: Partial<Member> = {}): Promise<void> {
    const full: Member = {
      entryVm: toId('entry-1'),
      failureDomain: toId('zone-1'),
      incarnation: toId('one'),
      memberId: toId('entry-1-router'),
      region: toId('south-1'),
      role: 'router',
      rpcAddress: '127.0.0.1:1',
      ...member,
    };
    const key = memberKey(full.role, full.memberId);
    const writes = [{ key, kind: 'put' as const, value: encodeMember(full) }];
    await this.store.commit({ guards: [], writes });
  }

  /** Runs a command line; settings of an example are added unless it names some. */
  async run(line: string): Promise<CtlRun> {
    const words = line
      .split(/\s+(?=(?:[^"]*"[^"]*")*[^"]*$)/)
      .map((word) => word.replace(/"/g, ''));
    const { values } = parseArgs({ args: words, strict: false });
    const settings =
      'settings' in values ? [] : ['--settings', 'examples/hoa-sen/laburnumctl.yaml'];
    const errors: string[] = [];
    const output: string[] = [];
    const environment: CtlEnvironment = {
      connectClients: () => this.clients,
      connectStore: () => this.store,
      newId: () => {
        this.ids += 1;
        return `id-${this.ids}`;
      },
      nowEpochMs: () => this.nowEpochMs,
      readStdin: () => Promise.resolve(this.stdin),
      readText: (file) => {
        const known = this.files.get(file);
        return known === undefined ? readFile(`${ROOT}${file}`, 'utf8') : Promise.resolve(known);
      },
      wait: () => Promise.resolve(),
      writeError: (text) => errors.push(text),
      writeLine: (text) => output.push(text),
    };
    const exitCode = await runCtl(['node', 'laburnumctl', ...words, ...settings], environment);
    return { errors: errors.join('\n'), exitCode, output: output.join('\n') };
  }
}
