import type { Teardown } from './KernelPluginRegistry.js';

/** A typed command. The payload type is carried by the token itself. */
export interface Command<Payload> {
  readonly name: string;
  /** Never present at run time; carries the payload type. */
  readonly payloadType?: Payload;
}

/** Order in which the handlers of a command are asked, from low to high. */
export const COMMAND_PRIORITY = { critical: 3, high: 2, low: 0, normal: 1 } as const;

/** Name of a handler priority. */
export type CommandPriority = keyof typeof COMMAND_PRIORITY;

/** Handles a command. Returning true ends the dispatch. */
export type CommandHandler<Payload> = (payload: Payload) => boolean;

interface HandlerEntry {
  readonly handler: CommandHandler<never>;
  readonly priority: number;
}

/** Dispatches typed commands to handlers, highest priority first. */
export interface CommandBus {
  /** Returns whether a handler took the command. */
  dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean;
  register<Payload>(
    command: Command<Payload>,
    handler: CommandHandler<Payload>,
    priority?: CommandPriority,
  ): Teardown;
}

/**
 * Declares a command.
 *
 * @param name - its name, for logs
 * @returns the command token
 */
export function createCommand<Payload>(name: string): Command<Payload> {
  return { name };
}

/**
 * Creates a bus with no handlers.
 *
 * @returns the bus
 */
export function createCommandBus(): CommandBus {
  const handlers = new Map<Command<unknown>, readonly HandlerEntry[]>();
  return {
    dispatch: (command, payload) => {
      const entries = handlers.get(command) ?? [];
      return entries.some((entry) => entry.handler(payload as never));
    },
    register: (command, handler, priority = 'normal') => {
      const entry: HandlerEntry = { handler, priority: COMMAND_PRIORITY[priority] };
      const entries = [...(handlers.get(command) ?? []), entry];
      handlers.set(
        command,
        entries.sort((a, b) => b.priority - a.priority),
      );
      return () => {
        const rest = (handlers.get(command) ?? []).filter((other) => other !== entry);
        handlers.set(command, rest);
      };
    },
  };
}
