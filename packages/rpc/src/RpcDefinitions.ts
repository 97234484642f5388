import { fileURLToPath } from 'node:url';
import { loadPackageDefinition } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';
import type { ProtoGrpcType } from './generated/laburnum.js';

const PROTO_FILE = fileURLToPath(new URL('../proto/laburnum.proto', import.meta.url));

const packageDefinition = loadSync(PROTO_FILE, {
  defaults: true,
  enums: String,
  keepCase: false,
  longs: Number,
  oneofs: true,
});

/** Client constructors and definitions of the gRPC services between daemons, by service name. */
export const RPC_SERVICES = (loadPackageDefinition(packageDefinition) as unknown as ProtoGrpcType)
  .laburnum.v1;

/** Name of a gRPC service between daemons. */
export type RpcServiceName =
  'Admission' | 'ConfigPeer' | 'Inspect' | 'Ledger' | 'Quota' | 'RequestHome';
