import type { DaemonContext, DaemonProgram } from '@laburnumgap/daemon';
import type { Node } from '@laburnumgap/node';
import type { DaemonSettings } from '@laburnumgap/settings';
import { daemonSettingsSchema } from '@laburnumgap/settings';
import { startScheduler } from './SchedulerDaemon.js';

/** Creates the node of a daemon: its clients, membership, configuration and gRPC server. */
export type StartNode = (
  context: DaemonContext<DaemonSettings>,
  role: 'scheduler',
) => Promise<Node>;

/**
 * Describes the daemon program `laburnum-scheduler`.
 *
 * @param startNode - creates the node
 * @returns the program
 */
export function schedulerProgram(startNode: StartNode): DaemonProgram<DaemonSettings> {
  return {
    description: 'Admits generations to the engines that it owns',
    name: 'laburnum-scheduler',
    schema: daemonSettingsSchema,
    start: async (context) =>
      startScheduler({ context, node: await startNode(context, 'scheduler') }),
    version: '0.1.0',
  };
}
