import type { Server } from 'node:net';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Link to a server on which the last segment of a connection can be lost and is sent again later. */
export class LateEndProxy {
  private constructor(private readonly server: Server) {}

  /**
   * Opens the link.
   *
   * @param port - port of the server
   * @param endDelayMs - by how much the end of a connection arrives late
   */
  static async start(port: number, endDelayMs: number): Promise<LateEndProxy> {
    const server = createServer({ allowHalfOpen: true }, (client) => {
      const upstream = connect({ allowHalfOpen: true, host: '127.0.0.1', port });
      client.on('data', (chunk) => upstream.write(chunk));
      upstream.on('data', (chunk) => client.write(chunk));
      client.on('end', () => {
        upstream.end();
      });
      upstream.on('end', () => {
        setTimeout(() => {
          client.end();
        }, endDelayMs);
      });
      client.on('error', () => upstream.destroy());
      upstream.on('error', () => client.destroy());
      client.on('close', () => upstream.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return new LateEndProxy(server);
  }

  address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
  }
}
