import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { OutputLengthRange } from '@laburnumgap/standins';
import type { DeploymentOptions } from '../deployment/DeploymentOptions.js';

/** Generations requested by one team of a firm. */
export interface FirmGenerations {
  readonly maxTokens: number;
  readonly model: string;
  readonly team: string;
}

/** An example firm: its deployment and the calls of its teams. */
export interface Firm {
  readonly atMostOnceCall: { readonly path: string; readonly team: string };
  readonly deployment: DeploymentOptions;
  readonly generations: readonly FirmGenerations[];
  readonly lookup: { readonly path: string; readonly team: string };
  readonly name: FirmName;
  readonly outputRange: OutputLengthRange;
  readonly service: string;
}

/** Name of a firm and of the folder with its examples. */
export type FirmName = 'harrow-pell' | 'hoa-sen';

interface FirmSpec {
  readonly atMostOnceCall: Firm['atMostOnceCall'];
  readonly engines: number;
  readonly generations: readonly FirmGenerations[];
  readonly lookup: Firm['lookup'];
  readonly pool: string;
  readonly service: string;
}

const FIRM_SPECS: Readonly<Record<FirmName, FirmSpec>> = {
  'harrow-pell': {
    atMostOnceCall: { path: '/v1/bookings', team: 'bookings' },
    engines: 8,
    generations: [
      { maxTokens: 400, model: 'layout-drafter', team: 'drafts' },
      { maxTokens: 60, model: 'note-writer', team: 'notes' },
    ],
    lookup: { path: '/v1/slots/ID', team: 'lookups' },
    pool: 'wall-plan',
    service: 'diary',
  },
  'hoa-sen': {
    atMostOnceCall: { path: '/v1/transfers', team: 'transfers' },
    engines: 10,
    generations: [
      { maxTokens: 400, model: 'report-writer', team: 'reports' },
      { maxTokens: 40, model: 'aisle-flagger', team: 'flags' },
    ],
    lookup: { path: '/v1/stock/ID', team: 'lookups' },
    pool: 'stock-count',
    service: 'stock',
  },
};

const DOMAINS = ['zone-1', 'zone-2', 'zone-3'] as const;
const ENTRY_VMS = 6;
const SERVICES = 3;
const OUTPUT_RANGE: OutputLengthRange = { maxTokens: 400, minTokens: 20 };
const KV_TOKENS = 6_000;
const DECODE_MS = 10;
const EXAMPLES = fileURLToPath(new URL('../../../../examples', import.meta.url));

/**
 * Returns the API key of a team in the examples.
 *
 * @param firm - the firm
 * @param team - the team
 * @returns the API key, as published with the examples
 */
export function exampleKey(firm: FirmName, team: string): string {
  return `${firm}-${team}-example-key`;
}

/**
 * Loads a firm's example contracts and the size of its deployment.
 *
 * @param name - the firm
 * @returns the firm with its deployment options and calls
 */
export async function loadFirm(name: FirmName): Promise<Firm> {
  const spec = FIRM_SPECS[name];
  const models = spec.generations.map(({ model }) => model);
  return {
    atMostOnceCall: spec.atMostOnceCall,
    deployment: {
      contracts: await readContracts(name),
      engines: distributeOverDomains(spec.engines, 'model').map(
        ({ failureDomain, name: engine }) => ({
          args: engineArgs(models, name === 'hoa-sen'),
          failureDomain,
          name: engine,
          pool: spec.pool,
        }),
      ),
      entryVms: distributeOverDomains(ENTRY_VMS, 'entry'),
      pools: [{ checksFencingNumbers: name !== 'hoa-sen', models, name: spec.pool }],
      region: 'region-1',
      services: distributeOverDomains(SERVICES, 'app').map((server) => ({
        ...server,
        service: spec.service,
      })),
    },
    generations: spec.generations,
    lookup: spec.lookup,
    name,
    outputRange: OUTPUT_RANGE,
    service: spec.service,
  };
}

function engineArgs(models: readonly string[], ignoresFencing: boolean): readonly string[] {
  return [
    '--models',
    models.join(','),
    '--kv-tokens',
    String(KV_TOKENS),
    '--decode-ms',
    String(DECODE_MS),
    '--min-output',
    String(OUTPUT_RANGE.minTokens),
    '--max-output',
    String(OUTPUT_RANGE.maxTokens),
    ...(ignoresFencing ? ['--ignore-fencing'] : []),
  ];
}

function distributeOverDomains(
  count: number,
  prefix: string,
): readonly { readonly failureDomain: string; readonly name: string }[] {
  return Array.from({ length: count }, (_, index) => ({
    failureDomain: DOMAINS[index % DOMAINS.length] ?? DOMAINS[0],
    name: `${prefix}-${index + 1}`,
  }));
}

async function readContracts(firm: FirmName): Promise<readonly string[]> {
  const folder = join(EXAMPLES, firm, 'contracts');
  const files = (await readdir(folder)).sort();
  return Promise.all(files.map((file) => readFile(join(folder, file), 'utf8')));
}
