import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

/** How a proxy impairs the connections that it forwards. */
export enum LinkFault {
  None = "none",
  /** Bytes are delayed in both directions. */
  Delayed = "delayed",
  /** Bytes are dropped both ways; connections stay open, new ones are accepted. */
  Silent = "silent",
  /** Requests are forwarded, answers are dropped. */
  OneWay = "one_way",
  /** Open and new connections are reset. */
  Reset = "reset",
}

/** Delay of bytes per direction under `LinkFault.Delayed`, in ms. */
const DELAY_MS = 150;
/** Bandwidth of a narrow link unless another one is set. */
const NARROW_BYTES_PER_S = 125_000;
/** Size of the pieces in which answers pass a link of limited bandwidth. */
const SLICE_BYTES = 2048;

/**
 * TCP proxy that forwards connections to an address and can inject faults.
 * A connection that has dropped bytes once drops all later bytes of that
 * direction too, since the byte stream would have a gap.
 */
export class LoopbackProxy {
  readonly #target: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Time in ms at which the link has passed all answers so far. */
  #freeAtMs = 0;
  fault = LinkFault.None;
  /** Whether answers pass at a low bandwidth, which all connections share. */
  isNarrow = false;
  narrowBytesPerS = NARROW_BYTES_PER_S;

  private constructor(target: string) {
    this.#target = target;
    this.#server = createServer((socket) => this.#onConnection(socket));
  }

  /** Starts a proxy to `host:port`. */
  static async open(target: string): Promise<LoopbackProxy> {
    const proxy = new LoopbackProxy(target);
    await new Promise<void>((resolve) => {
      proxy.#server.listen(0, "127.0.0.1", resolve);
    });
    return proxy;
  }

  /** `host:port` on which the proxy listens. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Sets the fault of all connections; `Reset` also resets open ones. */
  injectFault(fault: LinkFault): void {
    this.fault = fault;
    if (fault !== LinkFault.Reset) return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #onConnection(client: Socket): void {
    if (this.fault === LinkFault.Reset) {
      client.resetAndDestroy();
      return;
    }
    const [host = "", port = ""] = this.#target.split(":");
    const upstream = connect(Number(port), host);
    this.#forward(client, upstream, { isAnswer: false });
    this.#forward(upstream, client, { isAnswer: true });
  }

  #forward(
    from: Socket,
    to: Socket,
    { isAnswer }: { isAnswer: boolean },
  ): void {
    this.#sockets.add(from);
    let isDropping = false;
    from.on("data", (bytes) => {
      isDropping ||=
        this.fault === LinkFault.Silent ||
        (this.fault === LinkFault.OneWay && isAnswer);
      if (isDropping) return;
      if (isAnswer && this.isNarrow) {
        void this.#passAtBandwidth(bytes, from, to);
        return;
      }
      const delayMs = this.fault === LinkFault.Delayed ? DELAY_MS : 0;
      if (delayMs === 0) to.write(bytes);
      else setTimeout(() => to.writable && to.write(bytes), delayMs);
    });
    // Either side may close at any time; close the other side with it.
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }

  async #passAtBandwidth(
    bytes: Buffer,
    from: Socket,
    to: Socket,
  ): Promise<void> {
    from.pause();
    for (let start = 0; start < bytes.length; start += SLICE_BYTES) {
      const slice = bytes.subarray(start, start + SLICE_BYTES);
      const nowMs = performance.now();
      const durationMs = (slice.length / this.narrowBytesPerS) * 1000;
      this.#freeAtMs = Math.max(nowMs, this.#freeAtMs) + durationMs;
      await sleep(this.#freeAtMs - nowMs);
      if (!to.writable) return;
      to.write(slice);
    }
    from.resume();
  }
}
