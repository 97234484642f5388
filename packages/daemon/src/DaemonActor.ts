import type { Log } from '@laburnumgap/telemetry';
import type { ActorFunc, ActorSystemRef } from 'nact';
import { dispatch, spawn, start, stop } from 'nact';

/** Handles one message. An actor handles its messages one at a time, in order. */
export type ActorHandler<Message> = (message: Message) => Promise<void> | void;

/** An actor, which serializes access to the state that its handler owns. */
export interface Actor<Message> {
  /** Enqueues a message; does not wait until it is handled. */
  send(message: Message): void;
  stop(): void;
}

/** Creates the actors of one process. */
export interface ActorSystem {
  /** Starts an actor. If its handler throws, the error is logged and the next message is handled. */
  spawn<Message>(name: string, handler: ActorHandler<Message>): Actor<Message>;
  /** Stops every actor. */
  stop(): void;
}

/**
 * Starts an actor system.
 *
 * @param log - log for errors that handlers throw
 * @returns the system
 */
export function createActorSystem(log: Log): ActorSystem {
  const system = start();
  return {
    spawn: <Message>(name: string, handler: ActorHandler<Message>) => {
      const receive: ActorFunc<undefined, unknown, ActorSystemRef> = async (_state, message) => {
        await handler(message as Message);
        return undefined;
      };
      const ref = spawn(system, receive, name, {
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
