import { Fault, type FaultCode } from "@laburnumtrack/core/fault";
import {
  type RenewOrder,
  type RunOrder,
  type StartOrder,
  type StartReply,
  TaskWorker,
  type WorkerReport,
  type WorkerTarget,
} from "@laburnumtrack/jobs/task_worker";
import type { Result } from "ts-results";
import {
  RelayOperation,
  type RelayOrder,
  type RelayValue,
} from "./relay_message";
import type { RelayPool } from "./relay_pool";

/** Options of {@linkcode RelayedWorker}. */
export interface RelayedWorkerOptions {
  /** Calls workers from this process. */
  readonly direct: TaskWorker;
  readonly relays: RelayPool;
  /** Time limit of an order that a worker answers at once, in ms. */
  readonly orderTimeoutMs: number;
}

/** Time that a call may take longer by way of a relay, in ms. */
const RELAY_MARGIN_MS = 300;
/** Time that a renewal may take beyond its wait, in ms. */
const RENEW_MARGIN_MS = 700;

/**
 * Calls workers by way of relays where there are any, else directly. A relay is
 * a part of the network: when one fails, the outcome of its calls is unknown.
 */
export class RelayedWorker extends TaskWorker {
  readonly #options: RelayedWorkerOptions;

  constructor(options: RelayedWorkerOptions) {
    super();
    this.#options = options;
  }

  override async start(
    target: WorkerTarget,
    order: StartOrder,
  ): Promise<Result<StartReply, Fault>> {
    const call = { operation: RelayOperation.Start, order } as const;
    const reply = await this.#relay(target, call);
    if (reply === undefined) return this.#options.direct.start(target, order);
    return reply as Result<StartReply, Fault>;
  }

  override async stop(
    target: WorkerTarget,
    order: RunOrder,
  ): Promise<Result<void, Fault>> {
    const call = { operation: RelayOperation.Stop, order } as const;
    const reply = await this.#relay(target, call);
    if (reply === undefined) return this.#options.direct.stop(target, order);
    return reply.map(() => undefined);
  }

  override async pace(
    target: WorkerTarget,
    order: RunOrder,
    percent: number,
  ): Promise<Result<void, Fault>> {
    const call = { operation: RelayOperation.Pace, order, percent } as const;
    const reply = await this.#relay(target, call);
    if (reply === undefined) {
      return this.#options.direct.pace(target, order, percent);
    }
    return reply.map(() => undefined);
  }

  override async renew(
    target: WorkerTarget,
    order: RenewOrder,
  ): Promise<Result<WorkerReport, Fault>> {
    const call = { operation: RelayOperation.Renew, order } as const;
    const timeoutMs = order.waitMs + RENEW_MARGIN_MS;
    const reply = await this.#relay(target, call, timeoutMs);
    if (reply === undefined) return this.#options.direct.renew(target, order);
    return reply as Result<WorkerReport, Fault>;
  }

  /** Calls by way of a relay; undefined when the worker has none. */
  #relay(
    target: WorkerTarget,
    call: RelayOrder,
    timeoutMs = this.#options.orderTimeoutMs,
  ): Promise<Result<RelayValue, Fault>> | undefined {
    const link = this.#options.relays.linkFor(target, call.order.epoch);
    const reply = link?.call(target, call, timeoutMs + RELAY_MARGIN_MS);
    return reply?.then((result) =>
      result.mapErr((code: FaultCode) => new Fault(code, target.id)),
    );
  }
}
