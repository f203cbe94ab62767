import { createServer, type Server, type Socket } from "node:net";
import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  PAUSE_CHECK_INTERVAL_MS,
  PauseDetector,
} from "@laburnumtrack/core/pause_detector";
import type { TaskWorker } from "@laburnumtrack/jobs/task_worker";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { Err, type Result } from "ts-results";
import { LineReader } from "./line_reader";
import {
  encodeRelayMessage,
  type LeaderMessage,
  parseLeaderMessage,
  type RelayCall,
  type RelayHello,
  type RelayMessage,
  RelayMessageKind,
  RelayOperation,
  type RelayValue,
} from "./relay_message";

/** The leadership that a relay knows of. */
export interface KnownLeadership {
  readonly epoch: number;
  readonly instance: string;
}

/** Options of a relay server. */
export interface RelayServerOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Carries out the calls. */
  readonly port: TaskWorker;
  /** Latest leadership that this process has read from the table. */
  readonly leadership: () => KnownLeadership | undefined;
  /**
   * Whether this process knows for certain that a failure domain is evacuated;
   * by default none is.
   */
  readonly isEvacuated?: (domain: string) => boolean;
}

/** Time for which replies are gathered into one write, in ms. */
const REPLY_BATCH_MS = 8;

/**
 * Carries out calls to workers on behalf of the leading scheduler, which spares
 * it a connection and a request for each of them. The relay decides nothing and
 * keeps nothing: to the leader, it is a part of the network that may lose or
 * delay calls. It serves only the leader that the table names, and drops what
 * it received while it was paused.
 */
export class RelayServer {
  readonly #options: RelayServerOptions;
  /** Checked while there are connections; undefined else. */
  #pauses: PauseDetector | undefined;
  readonly #connections = new Set<RelayConnection>();
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: RelayServerOptions) {
    this.#options = options;
  }

  /** Listens on `host:port` and returns the bound address. */
  async listen(address: string): Promise<string> {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon);
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(Number(address.slice(colon + 1)), host, () => {
        server.off("error", reject);
        resolve();
      });
    });
    const bound = server.address();
    const port = typeof bound === "object" ? bound?.port : undefined;
    return `${host}:${port}`;
  }

  /** Stops listening and ends all connections. */
  close(): void {
    clearInterval(this.#timer);
    this.#server?.close();
    for (const connection of this.#connections) connection.end();
  }

  #accept(socket: Socket): void {
    const connection = new RelayConnection(socket, {
      ...this.#options,
      checkPause: () => this.#checkPause(),
      onClosed: () => this.#onClosed(connection),
    });
    this.#connections.add(connection);
    this.#pauses ??= new PauseDetector(this.#options.clock);
    this.#timer ??= setInterval(() => this.#check(), PAUSE_CHECK_INTERVAL_MS);
  }

  #onClosed(connection: RelayConnection): void {
    this.#connections.delete(connection);
    if (this.#connections.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#pauses = undefined;
  }

  #check(): void {
    this.#checkPause();
    for (const connection of this.#connections) connection.checkLeadership();
  }

  /**
   * Ends all connections after a pause: what arrived meanwhile may be outdated,
   * and the leader has given up on it.
   */
  #checkPause(): boolean {
    const pausedMs = this.#pauses?.check() ?? 0;
    if (pausedMs === 0) return false;
    this.#options.journal.warn(
      "This process was paused; calls that it received for the leader are dropped.",
      { pausedMs: Math.round(pausedMs), connections: this.#connections.size },
    );
    for (const connection of this.#connections) connection.end();
    return true;
  }
}

interface ConnectionOptions extends RelayServerOptions {
  /** Ends all connections and returns true when the process was paused. */
  readonly checkPause: () => boolean;
  readonly onClosed: () => void;
}

/** The connection of one leader. */
class RelayConnection {
  readonly #socket: Socket;
  readonly #options: ConnectionOptions;
  readonly #lines = new LineReader();
  #hello: RelayHello | undefined;
  #replies: string[] = [];

  constructor(socket: Socket, options: ConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#onData(chunk));
    // Each error is followed by the close event.
    socket.on("error", () => {});
    socket.on("close", options.onClosed);
  }

  end(): void {
    this.#socket.destroy();
  }

  /** Ends the connection once a newer leader is known. */
  checkLeadership(): void {
    const hello = this.#hello;
    const known = this.#options.leadership();
    if (hello === undefined || known === undefined) return;
    if (known.epoch <= hello.epoch) return;
    this.#options.journal.info(
      "A relay connection ends because there is a newer leader.",
      { epoch: hello.epoch, known: known.epoch },
    );
    this.end();
  }

  #onData(chunk: Buffer): void {
    if (this.#options.checkPause()) return;
    const lines = this.#lines.push(chunk);
    if (lines.err) {
      this.#onMalformed(lines.val.message);
      return;
    }
    for (const line of lines.val) {
      const message = parseLeaderMessage(line);
      if (message.err) {
        this.#onMalformed(message.val.message);
        return;
      }
      this.#onMessage(message.val);
    }
  }

  #onMalformed(cause: string): void {
    const { journal, metrics } = this.#options;
    metrics.count('relay_refusals{cause="malformed"}');
    journal.warn("A relay connection sent a malformed message and is ended.", {
      peer: this.#socket.remoteAddress,
      cause,
    });
    this.end();
  }

  #onMessage(message: LeaderMessage): void {
    switch (message.kind) {
      case RelayMessageKind.Hello:
        this.#onHello(message);
        break;
      case RelayMessageKind.Ping:
        this.#send({ kind: RelayMessageKind.Ping });
        break;
      case RelayMessageKind.Call:
        void this.#onCall(message);
        break;
    }
  }

  #onHello(hello: RelayHello): void {
    const known = this.#options.leadership();
    const isLeader =
      known?.epoch === hello.epoch && known.instance === hello.instance;
    if (isLeader) {
      this.#hello = hello;
      this.#send({ kind: RelayMessageKind.Welcome });
      return;
    }
    const { journal, metrics } = this.#options;
    metrics.count('relay_refusals{cause="leadership"}');
    journal.info(
      "A relay connection is refused: the table names another leader.",
      {
        peer: this.#socket.remoteAddress,
        epoch: hello.epoch,
        known: known?.epoch,
      },
    );
    this.#send({ kind: RelayMessageKind.Refused });
    this.#flush();
    this.#socket.end();
  }

  async #onCall(call: RelayCall): Promise<void> {
    const { metrics } = this.#options;
    // A call in the name of another leadership is never carried out.
    if (this.#hello?.epoch !== call.order.epoch) {
      this.#onMalformed(`call with epoch ${call.order.epoch}`);
      return;
    }
    metrics.count(`relayed_calls{operation="${call.operation}"}`);
    const result = await this.#carryOut(call);
    const { id } = call;
    this.#send({
      kind: RelayMessageKind.Reply,
      id,
      result: result.mapErr(({ code }) => code),
    });
  }

  async #carryOut(call: RelayCall): Promise<Result<RelayValue, Fault>> {
    const { port, isEvacuated } = this.#options;
    const { target } = call;
    switch (call.operation) {
      case RelayOperation.Start:
        // The leader may learn of the evacuation later than this process.
        if (isEvacuated?.(target.failureDomain ?? "")) {
          this.#options.metrics.count('relay_refusals{cause="evacuation"}');
          return Err(new Fault(FaultCode.WorkerUnreachable, target.id));
        }
        return await port.start(target, call.order);
      case RelayOperation.Renew:
        return await port.renew(target, call.order);
      case RelayOperation.Stop:
        return (await port.stop(target, call.order)).map(() => null);
      case RelayOperation.Pace:
        return (await port.pace(target, call.order, call.percent)).map(
          () => null,
        );
    }
  }

  #send(message: RelayMessage): void {
    if (this.#replies.length === 0) {
      setTimeout(() => this.#flush(), REPLY_BATCH_MS);
    }
    this.#replies.push(encodeRelayMessage(message));
  }

  #flush(): void {
    if (this.#replies.length === 0) return;
    const text = this.#replies.join("");
    this.#replies = [];
    if (!this.#socket.destroyed) this.#socket.write(text);
  }
}
