import type { CallOptions, ClientUnaryCall, ServiceError } from '@grpc/grpc-js';
import { Metadata, credentials, status } from '@grpc/grpc-js';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { RPC_CLIENT_CHANNEL_OPTIONS, RPC_SECRET_HEADER } from './RpcConstants.js';
import type { RpcServiceName } from './RpcDefinitions.js';
import { RPC_SERVICES } from './RpcDefinitions.js';

/** Client type of a service. */
export type RpcClient<Name extends RpcServiceName> = InstanceType<(typeof RPC_SERVICES)[Name]>;

/** Why a call between own processes failed. The call may have taken effect. */
export interface RpcError {
  readonly detail: string;
  readonly kind: 'rpcError';
  /** gRPC status code. */
  readonly status: number;
}

/** Clients to peers, one channel per address and service, with the secret attached to each call. */
export interface RpcClients {
  close(): void;
  /** Client of a service at an address. */
  get<Name extends RpcServiceName>(name: Name, address: string): RpcClient<Name>;
  /** Metadata that carries the secret, for streaming calls. */
  metadata(): Metadata;
  /** Makes a unary call with a deadline. */
  unary<Request, Reply>(
    call: UnaryMethod<Request, Reply>,
    request: Request,
    deadlineMs: number,
  ): Promise<Result<Reply, RpcError>>;
}

/** A unary method bound to its client. */
export type UnaryMethod<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: CallOptions,
  callback: (error: ServiceError | null, reply?: Reply) => void,
) => ClientUnaryCall;

/**
 * Creates a pool of clients.
 *
 * @param secret - the peer secret
 * @returns the pool
 */
export function createRpcClients(secret: string): RpcClients {
  const clients = new Map<string, RpcClient<RpcServiceName>>();
  const metadata = (): Metadata => {
    const result = new Metadata();
    result.set(RPC_SECRET_HEADER, secret);
    return result;
  };
  return {
    close: () => {
      for (const client of clients.values()) {
        client.close();
      }
      clients.clear();
    },
    get: <Name extends RpcServiceName>(name: Name, address: string) => {
      const key = `${name}@${address}`;
      const known = clients.get(key);
      if (known) {
        return known as RpcClient<Name>;
      }
      const created = new RPC_SERVICES[name](
        address,
        credentials.createInsecure(),
        RPC_CLIENT_CHANNEL_OPTIONS,
      );
      clients.set(key, created);
      return created as RpcClient<Name>;
    },
    metadata,
    unary: <Request, Reply>(
      call: UnaryMethod<Request, Reply>,
      request: Request,
      deadlineMs: number,
    ) =>
      new Promise<Result<Reply, RpcError>>((resolve) => {
        const deadline = Date.now() + deadlineMs;
        call(request, metadata(), { deadline }, (error, reply) => {
          if (error) {
            resolve(failure({ detail: error.details, kind: 'rpcError', status: error.code }));
            return;
          }
          if (reply === undefined) {
            resolve(failure({ detail: 'empty reply', kind: 'rpcError', status: status.INTERNAL }));
            return;
          }
          resolve(success(reply));
        });
      }),
  };
}
