import { status } from '@grpc/grpc-js';
import type { RpcError } from '@laburnumgap/rpc';

const UNREACHABLE_STATUSES: readonly number[] = [status.DEADLINE_EXCEEDED, status.UNAVAILABLE];

/**
 * Tells whether a failed call says that the peer cannot be reached.
 *
 * @param error - the failure
 * @returns true when another peer should be asked for a while
 */
export function isUnreachable(error: RpcError): boolean {
  return UNREACHABLE_STATUSES.includes(error.status);
}
