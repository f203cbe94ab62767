import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** A listening HTTP server. */
export interface Listener {
  /** Bound address, `host:port`. */
  readonly address: string;
  readonly server: Server;
  /**
   * Stops accepting connections and closes idle ones; resolves when the last
   * connection has ended.
   */
  close(): Promise<void>;
}

/** Options of {@linkcode listenHttp}. */
export interface ListenOptions {
  /** Largest total size of a request's headers. */
  readonly headerLimitBytes?: number;
  /** Time within which a request's headers must arrive. */
  readonly headersTimeoutMs?: number;
}

/**
 * Listens on `host:port`; port 0 picks a free port. Rejects when the address
 * cannot be bound.
 */
export async function listenHttp(
  address: string,
  onRequest: RequestListener,
  options: ListenOptions = {},
): Promise<Listener> {
  const server = createServer(
    {
      maxHeaderSize: options.headerLimitBytes ?? 16 * 1024,
      headersTimeout: options.headersTimeoutMs ?? 10_000,
      requestTimeout: 0,
      keepAliveTimeout: 30_000,
    },
    onRequest,
  );
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
  const bound = server.address() as AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    server,
    close: () => closeServer(server),
  };
}

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
