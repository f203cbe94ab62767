import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type Commit,
  type ReadOptions,
  type Row,
  Table,
  type Transaction,
} from "@laburnumtrack/core/table";
import { type Vm, VmList } from "@laburnumtrack/core/vm_list";
import {
  type SyncReply,
  type SyncRequest,
  Worker,
} from "@laburnumtrack/core/worker";
import { Err, Ok, type Result } from "ts-results";
import type { SeededRandom } from "./dice";
import type { MemoryTable } from "./memory_table";
import type { WorkerStandin } from "./worker_standin";

/** Injected faults of the link between a process and a remote service. */
export interface LinkFaults {
  /** Whether no message is delivered. */
  isCut: boolean;
  /** Share of requests that take effect but whose answer is lost, from 0 to 1. */
  lostAnswers: number;
  /** Longest one-way delay of a message, in ms. */
  delayMs: number;
}

/** Clocks and random source of the links of a process. */
export interface LinkOptions {
  /** Clock of the network: messages are delivered while the process is frozen. */
  readonly network: Clock;
  /** Clock of the process, which stops while the process is frozen. */
  readonly clock: Clock;
  readonly dice: SeededRandom;
}

/** Time after which a call without an answer fails, in ms. */
const TIMEOUT_MS = 800;

/** A link that can delay messages, lose answers or deliver nothing. */
class Link {
  readonly faults: LinkFaults = { isCut: false, lostAnswers: 0, delayMs: 5 };
  readonly #options: LinkOptions;

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  /**
   * Delivers a request and returns its answer; `answer` is undefined after a
   * time-out, and `isSent` tells whether the request was delivered.
   */
  async call<T>(
    isUp: () => boolean,
    answer: () => T,
  ): Promise<{ readonly isSent: boolean; readonly answer: T | undefined }> {
    const { network, clock, dice } = this.#options;
    const { isCut, delayMs, lostAnswers } = this.faults;
    if (isCut || !isUp()) {
      await clock.sleep(TIMEOUT_MS);
      return { isSent: false, answer: undefined };
    }
    const requestDelayMs = dice.between(0, delayMs);
    const answerDelayMs = dice.between(0, delayMs);
    const isLost =
      dice.chance(lostAnswers) || requestDelayMs + answerDelayMs > TIMEOUT_MS;
    // A request that was sent is delivered even if the caller no longer waits.
    const pendingAnswer = network.sleep(requestDelayMs).then(answer);
    if (isLost) {
      await clock.sleep(TIMEOUT_MS);
      return { isSent: true, answer: undefined };
    }
    const value = await pendingAnswer;
    await clock.sleep(answerDelayMs);
    return { isSent: true, answer: value };
  }
}

/** An in-memory table behind a link with injected faults. */
export class VirtualTable extends Table {
  readonly link: Link;
  readonly #table: MemoryTable;
  readonly #isUp: () => boolean;

  constructor(table: MemoryTable, isUp: () => boolean, options: LinkOptions) {
    super();
    this.#table = table;
    this.#isUp = isUp;
    this.link = new Link(options);
  }

  override async get(
    keys: readonly string[],
    options?: ReadOptions,
  ): Promise<Result<Row[], Fault>> {
    return await this.#read(() => this.#table.readNow(keys, options));
  }

  override async scan(
    prefix: string,
    options?: ReadOptions,
  ): Promise<Result<Row[], Fault>> {
    return await this.#read(() => this.#table.scanNow(prefix, options));
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    const { isSent, answer } = await this.link.call(this.#isUp, () =>
      this.#table.commitNow(transaction),
    );
    if (answer !== undefined) return answer;
    const code = isSent ? FaultCode.OutcomeUnknown : FaultCode.StoreUnavailable;
    return Err(new Fault(code));
  }

  async #read(read: () => Row[]): Promise<Result<Row[], Fault>> {
    const { answer } = await this.link.call(this.#isUp, read);
    if (answer !== undefined) return Ok(answer);
    return Err(new Fault(FaultCode.StoreUnavailable));
  }
}

/** Workers behind a link with injected faults; the address of each is its id. */
export class VirtualWorkers extends Worker {
  readonly link: Link;
  readonly #workers: ReadonlyMap<string, WorkerStandin>;
  /** Ids of workers that this process cannot reach. */
  readonly cutOff = new Set<string>();

  constructor(
    workers: ReadonlyMap<string, WorkerStandin>,
    options: LinkOptions,
  ) {
    super();
    this.#workers = workers;
    this.link = new Link(options);
  }

  override async sync(
    address: string,
    request: SyncRequest,
  ): Promise<Result<SyncReply, Fault>> {
    const worker = this.#workers.get(address);
    const isUp = () => worker !== undefined && !this.cutOff.has(address);
    const { answer } = await this.link.call(isUp, () => worker?.sync(request));
    if (answer !== undefined) return Ok(answer);
    return Err(new Fault(FaultCode.WorkerUnreachable, address));
  }
}

/** An in-memory list of VMs. */
export class VirtualVmList extends VmList {
  readonly #list: () => readonly Vm[];

  constructor(list: () => readonly Vm[]) {
    super();
    this.#list = list;
  }

  override read(): Promise<Result<Vm[] | undefined, Fault>> {
    return Promise.resolve(Ok([...this.#list()]));
  }
}
