import type { Log } from '@laburnumgap/telemetry';
import type { ActorFunc, ActorSystemRef } from 'nact';
import { dispatch, spawn, start, stop } from 'nact';

/** Handles one message; messages of one actor are handled one after another. */
export type ActorHandler<Message> = (message: Message) => Promise<void> | void;

/** An actor that owns one kernel object. */
export interface Actor<Message> {
  send(message: Message): void;
  stop(): void;
}

/** The actors of one process. */
export interface ActorSystem {
  /** Starts an actor. A message that throws is logged and the actor goes on with the next. */
  spawn<Message>(name: string, handler: ActorHandler<Message>): Actor<Message>;
  stop(): void;
}

/**
 * Starts an actor system.
 *
 * @param log - where crashes are logged
 * @returns the system
 */
export function createActorSystem(log: Log): ActorSystem {
  const system = start();
  return {
    spawn: <Message>(name: string, handler: ActorHandler<Message>) => {
      const serve: ActorFunc<undefined, unknown, ActorSystemRef> = async (_state, message) => {
        await handler(message as Message);
        return undefined;
      };
      const ref = spawn(system, serve, name, {
        onCrash: (_message, error, context) => {
          log.error('actorCrashed', { actor: name, detail: String(error?.stack ?? error) });
          return context.resume;
        },
      });
      return {
        send: (message) => {
          dispatch(ref, message);
        },
        stop: () => {
          stop(ref);
        },
      };
    },
    stop: () => {
      stop(system);
    },
  };
}
