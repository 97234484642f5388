import type { DaemonContext, DaemonProgram } from '@laburnumgap/daemon';
import type { Node } from '@laburnumgap/node';
import { startRouter } from './RouterDaemon.js';
import { registerPlainCalls } from './RouterPlainCallsRegistration.js';
import type { RouterSettings } from './RouterSettings.js';
import { routerSettingsSchema } from './RouterSettings.js';

/** Starts the node of a daemon. */
export type StartNode = (context: DaemonContext<RouterSettings>, role: 'router') => Promise<Node>;

/**
 * Describes the daemon program `laburnum-router`.
 *
 * @param startNode - starts the node
 * @returns the program
 */
export function routerProgram(startNode: StartNode): DaemonProgram<RouterSettings> {
  return {
    description: 'Routes requests of callers to engines and services',
    name: 'laburnum-router',
    schema: routerSettingsSchema,
    start: async (context) => {
      const router = await startRouter({ context, node: await startNode(context, 'router') });
      registerPlainCalls(router, { quota: router.quota });
      return router;
    },
    version: '0.1.0',
  };
}
