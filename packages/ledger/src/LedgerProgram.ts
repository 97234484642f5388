import type { DaemonContext, DaemonProgram } from '@laburnumgap/daemon';
import type { Node } from '@laburnumgap/node';
import type { LedgerSettings } from './LedgerSettings.js';
import { ledgerSettingsSchema } from './LedgerSettings.js';
import { startLedger } from './LedgerStart.js';

/** Starts a daemon's node: store, membership, configuration and gRPC. */
export type StartNode = (context: DaemonContext<LedgerSettings>, role: 'ledger') => Promise<Node>;

/**
 * Describes the daemon program `laburnum-ledger`.
 *
 * @param startNode - starts the daemon's node
 * @returns the program
 */
export function ledgerProgram(startNode: StartNode): DaemonProgram<LedgerSettings> {
  return {
    description: 'Records claims of calls that run at most once',
    name: 'laburnum-ledger',
    schema: ledgerSettingsSchema,
    start: async (context) => startLedger({ context, node: await startNode(context, 'ledger') }),
    version: '0.1.0',
  };
}
