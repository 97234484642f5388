import type { ChannelOptions } from '@grpc/grpc-js';

/** Metadata key that carries the peer secret. */
export const RPC_SECRET_HEADER = 'x-laburnum-secret';

const KEEPALIVE_INTERVAL_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const MIN_PING_INTERVAL_MS = 3_000;
const INITIAL_RECONNECT_MS = 100;
const MAX_RECONNECT_MS = 2_000;
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Channel options of clients. Keepalive pings detect dead connections; gRPC retries are off. */
export const RPC_CLIENT_CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': INITIAL_RECONNECT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
};

/** Channel options of servers. */
export const RPC_SERVER_CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.http2.min_ping_interval_without_data_ms': MIN_PING_INTERVAL_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
};
