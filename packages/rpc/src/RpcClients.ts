import type { CallOptions, ClientUnaryCall, ServiceError } from '@grpc/grpc-js';
import { Metadata, credentials, status } from '@grpc/grpc-js';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { RPC_CLIENT_CHANNEL_OPTIONS, RPC_SECRET_HEADER } from './RpcConstants.js';
import type { RpcServiceName } from './RpcDefinitions.js';
import { RPC_SERVICES } from './RpcDefinitions.js';

/** gRPC client type of a service. */
export type RpcClient<Name extends RpcServiceName> = InstanceType<(typeof RPC_SERVICES)[Name]>;

/** Why an RPC between daemons failed. The callee may have executed it nevertheless. */
export interface RpcError {
  readonly detail: string;
  readonly kind: 'rpcError';
  /** gRPC status code. */
  readonly status: number;
}

/**
 * Pool of gRPC clients to peer daemons with one channel per address and service. Unary calls carry
 * the peer secret.
 */
export interface RpcClients {
  /** Closes every channel. */
  close(): void;
  /** Returns the client of a service at an address and creates it on first use. */
  get<Name extends RpcServiceName>(name: Name, address: string): RpcClient<Name>;
  /** Creates metadata that carries the peer secret, for streaming calls. */
  metadata(): Metadata;
  /** Makes a unary call that fails once `deadlineMs` have passed. */
  unary<Request, Reply>(
    call: UnaryMethod<Request, Reply>,
    request: Request,
    deadlineMs: number,
  ): Promise<Result<Reply, RpcError>>;
}

/** A unary client method, bound to its client. */
export type UnaryMethod<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: CallOptions,
  callback: (error: ServiceError | null, reply?: Reply) => void,
) => ClientUnaryCall;

/**
 * Creates an empty client pool.
 *
 * @param secret - secret that all daemons of a deployment share
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
      const existing = clients.get(key);
      if (existing) {
        return existing as RpcClient<Name>;
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
