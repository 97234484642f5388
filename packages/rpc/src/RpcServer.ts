import { timingSafeEqual } from 'node:crypto';
import type { ServerInterceptor, UntypedServiceImplementation, Metadata } from '@grpc/grpc-js';
import {
  Server,
  ServerCredentials,
  ServerInterceptingCall,
  ServerListenerBuilder,
  status,
} from '@grpc/grpc-js';
import { parseSocketAddress } from '@laburnumgap/kernel';
import { RPC_SECRET_HEADER, RPC_SERVER_CHANNEL_OPTIONS } from './RpcConstants.js';
import type { RpcServiceName } from './RpcDefinitions.js';
import { RPC_SERVICES } from './RpcDefinitions.js';

/** Handlers of the gRPC services that a daemon offers, by service name. */
export type RpcHandlers = Partial<Record<RpcServiceName, UntypedServiceImplementation>>;

/** Options of {@link startRpcServer}. */
export interface RpcServerOptions {
  /** Host and port to listen on; with port 0 the operating system picks a free port. */
  readonly address: string;
  /** Services registered before the port is bound. */
  readonly handlers?: RpcHandlers;
  /** Peer secret; calls without it fail with UNAUTHENTICATED. */
  readonly secret: string;
}

/** A running gRPC server. */
export interface RpcServer {
  /** Host and port that the server listens on. */
  readonly address: string;
  /** Cancels running calls and closes the port. */
  close(): void;
  /** Rejects new calls; resolves when the running ones have completed. */
  drain(): Promise<void>;
  /** Registers further services. */
  register(handlers: RpcHandlers): void;
}

/**
 * Starts a gRPC server that authenticates every call by the peer secret.
 *
 * @param options - address, handlers and secret
 * @returns the running server
 * @throws when the address cannot be bound
 */
export async function startRpcServer(options: RpcServerOptions): Promise<RpcServer> {
  const server = new Server({
    ...RPC_SERVER_CHANNEL_OPTIONS,
    interceptors: [secretInterceptor(options.secret)],
  });
  const register = (handlers: RpcHandlers): void => {
    for (const [name, implementation] of Object.entries(handlers)) {
      server.addService(RPC_SERVICES[name as RpcServiceName].service, implementation);
    }
  };
  register(options.handlers ?? {});
  const { host } = parseSocketAddress(options.address);
  const port = await bind(server, options.address);
  return {
    address: `${host}:${port}`,
    close: () => {
      server.forceShutdown();
    },
    drain: () =>
      new Promise((resolve) => {
        server.tryShutdown(() => {
          resolve();
        });
      }),
    register,
  };
}

function bind(server: Server, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
      if (error) {
        reject(error);
        return;
      }
      resolve(port);
    });
  });
}

function secretInterceptor(secret: string): ServerInterceptor {
  return (_method, call) => {
    const listener = new ServerListenerBuilder()
      .withOnReceiveMetadata((metadata, next) => {
        if (hasSecret(metadata, secret)) {
          next(metadata);
          return;
        }
        call.sendStatus({ code: status.UNAUTHENTICATED, details: 'peer secret missing or wrong' });
      })
      .build();
    return new ServerInterceptingCall(call, {
      start: (next) => {
        next(listener);
      },
    });
  };
}

function hasSecret(metadata: Metadata, secret: string): boolean {
  const [received] = metadata.get(RPC_SECRET_HEADER);
  const expected = Buffer.from(secret);
  const actual = Buffer.from(received ?? '');
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}
