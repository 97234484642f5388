import { status } from '@grpc/grpc-js';
import type { RpcError } from '@laburnumgap/rpc';

const UNREACHABLE_STATUSES: readonly number[] = [status.DEADLINE_EXCEEDED, status.UNAVAILABLE];

/**
 * Tells whether a call failed because the peer is unreachable.
 *
 * @param error - the error of the call
 * @returns true when the peer should be suspected and another one asked for a while
 */
export function isUnreachable(error: RpcError): boolean {
  return UNREACHABLE_STATUSES.includes(error.status);
}
