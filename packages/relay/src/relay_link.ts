import { connect, type Socket } from "node:net";
import type { Clock } from "@laburnumtrack/core/clock";
import { FaultCode } from "@laburnumtrack/core/fault";
import type { WorkerTarget } from "@laburnumtrack/jobs/task_worker";
import type { Journal } from "@laburnumtrack/process/journal";
import { Err, type Result } from "ts-results";
import { LineReader } from "./line_reader";
import {
  encodeLeaderMessage,
  type LeaderMessage,
  parseRelayMessage,
  type RelayHello,
  type RelayMessage,
  RelayMessageKind,
  type RelayOrder,
  type RelayValue,
} from "./relay_message";

/** Options of a relay link. */
export interface RelayLinkOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  /** Name of the relay's process. */
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
  readonly hello: Omit<RelayHello, "kind">;
}

interface PendingCall {
  readonly settle: (result: Result<RelayValue, FaultCode>) => void;
  readonly timer: NodeJS.Timeout;
}

/** State of a relay link. */
enum LinkState {
  Connecting = "connecting",
  Open = "open",
  Closed = "closed",
}

/** Interval between two pings, in ms. */
const PING_INTERVAL_MS = 200;
/** A relay from which nothing arrives for this long is given up, in ms. */
const SILENCE_LIMIT_MS = 700;
/** Time for which calls are gathered into one write, in ms. */
const CALL_BATCH_MS = 8;
/** Unsent bytes above which the connection counts as stuck. */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;

/** Connection of the leader to a relay. It is used once and not reopened. */
export class RelayLink {
  readonly #options: RelayLinkOptions;
  readonly #socket: Socket;
  readonly #lines = new LineReader();
  readonly #pending = new Map<number, PendingCall>();
  readonly #pinging: NodeJS.Timeout;
  #state = LinkState.Connecting;
  #outgoing: string[] = [];
  #lastId = 0;
  #receivedMs: number;

  constructor(options: RelayLinkOptions) {
    this.#options = options;
    this.#receivedMs = options.clock.nowMs();
    const colon = options.address.lastIndexOf(":");
    this.#socket = connect({
      host: options.address.slice(0, colon),
      port: Number(options.address.slice(colon + 1)),
      noDelay: true,
    });
    this.#socket.on("data", (chunk: Buffer) => this.#onData(chunk));
    this.#socket.on("error", (error) => this.#fail(error.message));
    this.#socket.on("close", () => this.#fail("connection closed"));
    this.#pinging = setInterval(() => this.#ping(), PING_INTERVAL_MS);
    this.#send({ kind: RelayMessageKind.Hello, ...options.hello });
  }

  get name(): string {
    return this.#options.name;
  }

  /** Whether the relay accepts calls. */
  get isOpen(): boolean {
    return this.#state === LinkState.Open;
  }

  get isClosed(): boolean {
    return this.#state === LinkState.Closed;
  }

  /**
   * Has a call carried out; the link must be open. `OutcomeUnknown` when no
   * reply arrives within `timeoutMs` or the link fails.
   */
  call(
    target: WorkerTarget,
    order: RelayOrder,
    timeoutMs: number,
  ): Promise<Result<RelayValue, FaultCode>> {
    this.#lastId += 1;
    const id = this.#lastId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pending.delete(id);
        resolve(Err(FaultCode.OutcomeUnknown));
      }, timeoutMs);
      this.#pending.set(id, { settle: resolve, timer });
      const { id: workerId, address, failureDomain } = target;
      this.#send({
        kind: RelayMessageKind.Call,
        id,
        target: { id: workerId, address, failureDomain },
        ...order,
      });
    });
  }

  /** Ends the connection; the outcome of calls under way is unknown. */
  close(): void {
    this.#end();
  }

  #ping(): void {
    const silentMs = this.#options.clock.nowMs() - this.#receivedMs;
    if (silentMs > SILENCE_LIMIT_MS) this.#fail("no answer");
    else if (this.isOpen) this.#send({ kind: RelayMessageKind.Ping });
  }

  #onData(chunk: Buffer): void {
    this.#receivedMs = this.#options.clock.nowMs();
    const lines = this.#lines.push(chunk);
    if (lines.err) {
      this.#fail(lines.val.message);
      return;
    }
    for (const line of lines.val) {
      const message = parseRelayMessage(line);
      if (message.err) {
        this.#fail(message.val.message);
        return;
      }
      this.#onMessage(message.val);
    }
  }

  #onMessage(message: RelayMessage): void {
    switch (message.kind) {
      case RelayMessageKind.Welcome:
        if (this.#state === LinkState.Connecting) this.#onOpen();
        break;
      case RelayMessageKind.Refused:
        this.#fail("the relay knows another leader");
        break;
      case RelayMessageKind.Reply: {
        const call = this.#pending.get(message.id);
        // The reply to a call that timed out is ignored.
        if (call === undefined) break;
        this.#pending.delete(message.id);
        clearTimeout(call.timer);
        call.settle(message.result);
        break;
      }
      case RelayMessageKind.Ping:
        break;
    }
  }

  #onOpen(): void {
    this.#state = LinkState.Open;
    const { journal, name, address } = this.#options;
    journal.info("A relay accepts calls to workers.", { relay: name, address });
  }

  #send(message: LeaderMessage): void {
    if (this.#outgoing.length === 0) {
      setTimeout(() => this.#flush(), CALL_BATCH_MS);
    }
    this.#outgoing.push(encodeLeaderMessage(message));
  }

  #flush(): void {
    const text = this.#outgoing.join("");
    this.#outgoing = [];
    if (this.isClosed) return;
    this.#socket.write(text);
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#fail("the relay does not read");
    }
  }

  #fail(cause: string): void {
    if (this.isClosed) return;
    const { journal, name, address } = this.#options;
    journal.info(
      "A relay is not used for a while; its workers are called directly.",
      {
        relay: name,
        address,
        cause,
        calls: this.#pending.size,
      },
    );
    this.#end();
  }

  #end(): void {
    this.#state = LinkState.Closed;
    clearInterval(this.#pinging);
    this.#socket.destroy();
    for (const { settle, timer } of this.#pending.values()) {
      clearTimeout(timer);
      settle(Err(FaultCode.OutcomeUnknown));
    }
    this.#pending.clear();
  }
}
