import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** What a proxy does with the bytes that it is handed. */
export enum LinkTrouble {
  None = "none",
  /** Bytes wait for a while, both ways. */
  Delayed = "delayed",
  /** Nothing passes, no connection ends; new ones open and stay silent. */
  Silent = "silent",
  /** Requests pass, answers do not. */
  OneWay = "one_way",
  /** Open connections are reset, new ones too. */
  Reset = "reset",
}

/** Delay of bytes on a delayed link, in ms. */
const DELAY_MS = 150;

/**
 * Passes connections on to an address, and can harm them. Bytes that a silent
 * link holds are lost: a connection that was silent once stays so.
 */
export class LoopbackProxy {
  readonly #target: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  trouble = LinkTrouble.None;

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

  /** `host:port` that it listens on. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Brings trouble about; a reset ends what is open. */
  harm(trouble: LinkTrouble): void {
    this.trouble = trouble;
    if (trouble !== LinkTrouble.Reset) return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Ends all connections and stops listening. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #onConnection(near: Socket): void {
    if (this.trouble === LinkTrouble.Reset) {
      near.resetAndDestroy();
      return;
    }
    const [host = "", port = ""] = this.#target.split(":");
    const far = connect(Number(port), host);
    this.#pass(near, far, { isAnswer: false });
    this.#pass(far, near, { isAnswer: true });
  }

  #pass(from: Socket, to: Socket, { isAnswer }: { isAnswer: boolean }): void {
    this.#sockets.add(from);
    let isSilenced = false;
    from.on("data", (bytes) => {
      isSilenced ||=
        this.trouble === LinkTrouble.Silent ||
        (this.trouble === LinkTrouble.OneWay && isAnswer);
      if (isSilenced) return;
      const delayMs = this.trouble === LinkTrouble.Delayed ? DELAY_MS : 0;
      if (delayMs === 0) to.write(bytes);
      else setTimeout(() => to.writable && to.write(bytes), delayMs);
    });
    // Either end may go at any time; the other one follows.
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }
}
