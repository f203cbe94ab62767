import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, MachineClock } from "@laburnumtrack/core/clock";
import {
  type Assignment,
  type RunReport,
  RunState,
  type SyncReply,
  type SyncRequest,
} from "@laburnumtrack/core/worker";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import { readText, sendJson } from "@laburnumtrack/process/http_body";
import {
  type Listener,
  listenHttp,
} from "@laburnumtrack/process/http_listener";
import { nodeRoute } from "@laburnumtrack/process/node_route";
import { H3, toNodeHandler } from "h3";
import { BatchRun } from "./batch_run";
import { EventKind, type History } from "./history";
import { isCutOff } from "./platform_faults";
import { ServiceRun } from "./service_run";
import { readWork } from "./work_text";

const TICK_MS = 25;
const FIRST_UPTIME_MS = 10_000_000;
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;

interface Held {
  readonly assignment: Assignment;
  readonly run: BatchRun | ServiceRun;
  isEndRecorded: boolean;
  /** Last report as text, and when it became so. */
  reported: string;
  changedMs: number;
}

/** Stand-in for a worker: runs tasks under a lease on its own clock. */
export class WorkerStandin {
  readonly id: string;
  readonly #history: History;
  readonly #clock: Clock;
  readonly #held = new Map<string, Held>();
  /** Highest epoch seen of each task: it is never started again. */
  readonly #epochs = new Map<string, number>();
  #restarts = 0;
  /** Its clock begins anew with each instance, as that of a VM does. */
  #bootMs: number;
  #instance: string;
  #generation = 0;
  #revision = 0;
  #leaseEndMs = 0;
  #isCut = false;
  #isClosed = false;
  /** Names of schedulers that cannot reach it. */
  readonly #cutOff = new Set<string>();
  /** Lets tasks go on after the lease: to show that checks notice it. */
  ignoresLease = false;
  /** Fails every batch task. */
  failsAll = false;

  constructor(id: string, history: History, clock: Clock = new MachineClock()) {
    this.id = id;
    this.#history = history;
    this.#clock = clock;
    this.#bootMs = clock.nowMs() - FIRST_UPTIME_MS;
    this.#instance = this.#nameInstance();
    void this.#tickOnAndOn();
  }

  get instance(): string {
    return this.#instance;
  }

  /** Serves the workers' protocol. */
  async listen(address: string): Promise<Listener> {
    const app = new H3();
    app.post(
      "/sync",
      nodeRoute((request, response) => this.#onSync(request, response)),
    );
    return await listenHttp(address, toNodeHandler(app));
  }

  /** Answers no keeper while it is cut off; tasks go on under the lease. */
  setCut(isCut: boolean): void {
    this.#isCut = isCut;
    this.#recordReach();
  }

  /** Cuts it off from some schedulers, or from none. */
  setCutOff(schedulers: readonly string[]): void {
    this.#cutOff.clear();
    for (const name of schedulers) this.#cutOff.add(name);
    this.#recordReach();
  }

  /** Stops everything for good. */
  close(): void {
    this.#isClosed = true;
    for (const { run } of this.#held.values()) run.stop();
  }

  /** Loses all tasks and comes back as another instance. */
  restart(): void {
    for (const held of this.#held.values()) held.run.stop();
    this.#recordEnds();
    this.#recordWorker(EventKind.WorkerRestarted);
    this.#held.clear();
    this.#epochs.clear();
    this.#restarts += 1;
    this.#bootMs = this.#clock.nowMs();
    this.#instance = this.#nameInstance();
    this.#generation = 0;
    this.#revision = 0;
    this.#leaseEndMs = 0;
  }

  /** Addresses of the replicas that run here. */
  endpoints(): string[] {
    return this.#listRuns().map(({ endpoint }) => endpoint);
  }

  /** Takes in a message of a keeper. */
  sync(request: SyncRequest): SyncReply {
    const nowMs = this.#ownNowMs();
    const isOther =
      request.instance !== "" && request.instance !== this.#instance;
    if (isOther || request.generation < this.#generation) {
      return this.#reply(false);
    }
    this.#generation = request.generation;
    const leaseEndMs = request.stampMs + request.leaseMs;
    if (request.stampMs === 0 || leaseEndMs <= nowMs) return this.#reply(false);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, leaseEndMs);
    const { assignments, revision } = request;
    const before = this.#listRuns();
    if (assignments !== undefined && revision >= this.#revision) {
      this.#revision = revision;
      this.#follow(assignments);
    }
    // What was dropped by this message is reported a last time.
    const dropped = before.filter(({ task }) => !this.#held.has(task));
    const changed = this.#listChanged(request.stampMs);
    return { ...this.#reply(true), runs: [...changed, ...dropped] };
  }

  async #onSync(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(request, BODY_LIMIT_BYTES);
    const agent = request.headers["user-agent"];
    if (this.#isCut || isCutOff(this.#cutOff, agent)) {
      response.destroy();
      return;
    }
    sendJson(response, 200, this.sync(JSON.parse(body ?? "") as SyncRequest));
  }

  #follow(assignments: readonly Assignment[]): void {
    const wanted = new Map(assignments.map((one) => [one.task, one]));
    for (const [task, held] of this.#held) {
      if (wanted.get(task)?.epoch === held.assignment.epoch) continue;
      held.run.stop();
      this.#recordEnd(held);
      this.#held.delete(task);
    }
    for (const assignment of assignments) {
      const held = this.#held.get(assignment.task);
      if (held !== undefined) held.run.setAction(assignment.action);
      else this.#start(assignment);
    }
  }

  #start(assignment: Assignment): void {
    const { task, epoch, kind } = assignment;
    if ((this.#epochs.get(task) ?? 0) >= epoch) return;
    this.#epochs.set(task, epoch);
    const run =
      kind === WorkloadKind.Job
        ? new BatchRun(assignment, {
            clock: this.#clock,
            failsAll: this.failsAll,
          })
        : new ServiceRun(assignment, this.#history, {
            worker: this.id,
            slowdown: () => 1 + this.#noise(),
          });
    if (run instanceof ServiceRun) void run.start();
    this.#held.set(task, {
      assignment,
      run,
      isEndRecorded: false,
      reported: "",
      changedMs: this.#ownNowMs(),
    });
    this.#record(EventKind.RunStarted, assignment, describeStart(assignment));
    run.setAction(assignment.action);
  }

  async #tickOnAndOn(): Promise<void> {
    while (!this.#isClosed) {
      await this.#clock.sleep(TICK_MS);
      this.#tick();
    }
  }

  #tick(): void {
    if (!this.ignoresLease && this.#ownNowMs() > this.#leaseEndMs) {
      for (const { run } of this.#held.values()) run.stop();
    }
    for (const { run } of this.#held.values()) {
      if (run instanceof BatchRun) run.advance(TICK_MS);
    }
    this.#recordEnds();
  }

  #recordEnds(): void {
    for (const held of this.#held.values()) {
      if (held.run.state !== RunState.Running) this.#recordEnd(held);
    }
  }

  #recordEnd(held: Held): void {
    if (held.isEndRecorded) return;
    held.isEndRecorded = true;
    const { run, assignment } = held;
    if (run.state === RunState.Done) {
      this.#record(EventKind.TaskDone, assignment, "");
    }
    const saved = run instanceof BatchRun ? run.checkpoint : "";
    this.#record(EventKind.RunEnded, assignment, `${run.state} ${saved}`);
  }

  #record(kind: EventKind, { task, epoch }: Assignment, detail: string): void {
    const place = this.id;
    this.#history.add({ kind, place, subject: task, epoch, detail });
  }

  #reply(isRenewed: boolean): SyncReply {
    return {
      stampMs: this.#ownNowMs(),
      instance: this.#instance,
      generation: this.#generation,
      revision: this.#revision,
      isRenewed,
      runs: this.#listRuns(),
    };
  }

  #listRuns(): RunReport[] {
    return [...this.#held.values()].map(reportOf);
  }

  /** Reports that became as they are at or after a stamp. */
  #listChanged(sinceMs: number): RunReport[] {
    const changed: RunReport[] = [];
    for (const held of this.#held.values()) {
      const report = reportOf(held);
      const text = JSON.stringify(report);
      if (text !== held.reported) held.changedMs = this.#ownNowMs();
      held.reported = text;
      if (held.changedMs >= sinceMs) changed.push(report);
    }
    return changed;
  }

  #recordReach(): void {
    const isCut = this.#isCut || this.#cutOff.size > 0;
    this.#recordWorker(isCut ? EventKind.WorkerCut : EventKind.WorkerBack);
  }

  #recordWorker(kind: EventKind): void {
    const place = this.id;
    this.#history.add({ kind, place, subject: "", epoch: 0, detail: "" });
  }

  #ownNowMs(): number {
    return this.#clock.nowMs() - this.#bootMs;
  }

  #nameInstance(): string {
    return `${this.id}-${this.#restarts}`;
  }

  #noise(): number {
    let noise = 0;
    for (const { run } of this.#held.values()) {
      if (run instanceof BatchRun) noise += run.noise;
    }
    return noise;
  }
}

function describeStart({ checkpoint, resources }: Assignment): string {
  return JSON.stringify({ checkpoint, resources });
}

function reportOf({ assignment, run }: Held): RunReport {
  const isBatch = run instanceof BatchRun;
  return {
    task: assignment.task,
    epoch: assignment.epoch,
    state: run.state,
    endpoint: isBatch ? "" : run.endpoint,
    checkpoint: isBatch ? run.checkpoint : "",
    cpuMilli: assignment.resources.cpuMilli,
    memoryMb: readWork(assignment.work).usesMb || assignment.resources.memoryMb,
    latencyMs: isBatch ? 0 : run.latencyMs,
  };
}
