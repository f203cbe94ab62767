import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, SystemClock } from "@laburnumtrack/core/clock";
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

/** Interval at which leases are checked and batch runs progress, in ms. */
const TICK_INTERVAL_MS = 25;
/** Local clock time of the first instance when it starts, in ms. */
const INITIAL_UPTIME_MS = 10_000_000;
/** Largest accepted request body, in bytes. */
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;

interface HeldRun {
  readonly assignment: Assignment;
  readonly run: BatchRun | ServiceRun;
  isEndRecorded: boolean;
  /** Last report as JSON. */
  lastReport: string;
  /** Local time at which the report last changed, in ms. */
  changedMs: number;
}

/** Stand-in for a worker: runs tasks under a lease that its own clock measures. */
export class WorkerStandin {
  readonly id: string;
  readonly #history: History;
  readonly #clock: Clock;
  readonly #heldRuns = new Map<string, HeldRun>();
  /** Highest started epoch of each task; this and lower epochs are not started. */
  readonly #epochs = new Map<string, number>();
  #restarts = 0;
  /** Start of the local clock, which restarts with each instance as on a VM. */
  #clockStartMs: number;
  #instance: string;
  #generation = 0;
  #revision = 0;
  #leaseEndMs = 0;
  #isCut = false;
  #isClosed = false;
  /** Names of schedulers that cannot reach the worker. */
  readonly #cutOff = new Set<string>();
  /** Keeps tasks running after the lease expired, to test that checks detect it. */
  ignoresLease = false;
  /** Whether every batch task that starts from now on fails. */
  failsAll = false;

  constructor(id: string, history: History, clock: Clock = new SystemClock()) {
    this.id = id;
    this.#history = history;
    this.#clock = clock;
    this.#clockStartMs = clock.nowMs() - INITIAL_UPTIME_MS;
    this.#instance = this.#formatInstance();
    void this.#runTicks();
  }

  get instance(): string {
    return this.#instance;
  }

  /** Serves the worker protocol over HTTP. */
  async listen(address: string): Promise<Listener> {
    const app = new H3();
    app.post(
      "/sync",
      nodeRoute((request, response) => this.#onSync(request, response)),
    );
    return await listenHttp(address, toNodeHandler(app));
  }

  /** Cuts the worker off from all schedulers; tasks run until the lease expires. */
  setCut(isCut: boolean): void {
    this.#isCut = isCut;
    this.#recordReachability();
  }

  /** Cuts the worker off from exactly these schedulers, given by name. */
  setCutOff(schedulers: readonly string[]): void {
    this.#cutOff.clear();
    for (const name of schedulers) this.#cutOff.add(name);
    this.#recordReachability();
  }

  /** Stops all runs and the worker permanently. */
  close(): void {
    this.#isClosed = true;
    for (const { run } of this.#heldRuns.values()) run.stop();
  }

  /** Restarts the worker as a new instance, which has none of the tasks. */
  restart(): void {
    for (const held of this.#heldRuns.values()) held.run.stop();
    this.#recordEnds();
    this.#recordWorker(EventKind.WorkerRestarted);
    this.#heldRuns.clear();
    this.#epochs.clear();
    this.#restarts += 1;
    this.#clockStartMs = this.#clock.nowMs();
    this.#instance = this.#formatInstance();
    this.#generation = 0;
    this.#revision = 0;
    this.#leaseEndMs = 0;
  }

  /** Endpoints of all runs; empty strings for batch runs. */
  endpoints(): string[] {
    return this.#listRuns().map(({ endpoint }) => endpoint);
  }

  /**
   * Handles a message of a scheduler: renews the lease and applies assignments.
   * Messages of another instance, an older generation or an expired lease are
   * answered without a renewal.
   */
  sync(request: SyncRequest): SyncReply {
    const nowMs = this.#localNowMs();
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
      this.#applyAssignments(assignments);
    }
    // Runs that this message removed are reported one last time.
    const dropped = before.filter(({ task }) => !this.#heldRuns.has(task));
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

  #applyAssignments(assignments: readonly Assignment[]): void {
    const wanted = new Map(assignments.map((one) => [one.task, one]));
    for (const [task, held] of this.#heldRuns) {
      if (wanted.get(task)?.epoch === held.assignment.epoch) continue;
      held.run.stop();
      this.#recordEnd(held);
      this.#heldRuns.delete(task);
    }
    for (const assignment of assignments) {
      const held = this.#heldRuns.get(assignment.task);
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
            slowdown: () => 1 + this.#totalInterference(),
          });
    if (run instanceof ServiceRun) void run.start();
    this.#heldRuns.set(task, {
      assignment,
      run,
      isEndRecorded: false,
      lastReport: "",
      changedMs: this.#localNowMs(),
    });
    this.#record(EventKind.RunStarted, assignment, describeStart(assignment));
    run.setAction(assignment.action);
  }

  async #runTicks(): Promise<void> {
    while (!this.#isClosed) {
      await this.#clock.sleep(TICK_INTERVAL_MS);
      this.#tick();
    }
  }

  #tick(): void {
    if (!this.ignoresLease && this.#localNowMs() > this.#leaseEndMs) {
      for (const { run } of this.#heldRuns.values()) run.stop();
    }
    for (const { run } of this.#heldRuns.values()) {
      if (run instanceof BatchRun) run.advance(TICK_INTERVAL_MS);
    }
    this.#recordEnds();
  }

  #recordEnds(): void {
    for (const held of this.#heldRuns.values()) {
      if (held.run.state !== RunState.Running) this.#recordEnd(held);
    }
  }

  #recordEnd(held: HeldRun): void {
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
      stampMs: this.#localNowMs(),
      instance: this.#instance,
      generation: this.#generation,
      revision: this.#revision,
      isRenewed,
      runs: this.#listRuns(),
    };
  }

  #listRuns(): RunReport[] {
    return [...this.#heldRuns.values()].map(reportOf);
  }

  /** Reports that changed at or after a local time, in ms. */
  #listChanged(sinceMs: number): RunReport[] {
    const changed: RunReport[] = [];
    for (const held of this.#heldRuns.values()) {
      const report = reportOf(held);
      const text = JSON.stringify(report);
      if (text !== held.lastReport) held.changedMs = this.#localNowMs();
      held.lastReport = text;
      if (held.changedMs >= sinceMs) changed.push(report);
    }
    return changed;
  }

  #recordReachability(): void {
    const isCut = this.#isCut || this.#cutOff.size > 0;
    this.#recordWorker(
      isCut ? EventKind.WorkerUnreachable : EventKind.WorkerReachable,
    );
  }

  #recordWorker(kind: EventKind): void {
    const place = this.id;
    this.#history.add({ kind, place, subject: "", epoch: 0, detail: "" });
  }

  #localNowMs(): number {
    return this.#clock.nowMs() - this.#clockStartMs;
  }

  #formatInstance(): string {
    return `${this.id}-${this.#restarts}`;
  }

  #totalInterference(): number {
    let interference = 0;
    for (const { run } of this.#heldRuns.values()) {
      if (run instanceof BatchRun) interference += run.interference;
    }
    return interference;
  }
}

function describeStart({ checkpoint, resources }: Assignment): string {
  return JSON.stringify({ checkpoint, resources });
}

function reportOf({ assignment, run }: HeldRun): RunReport {
  const isBatch = run instanceof BatchRun;
  return {
    task: assignment.task,
    epoch: assignment.epoch,
    state: run.state,
    endpoint: isBatch ? "" : run.endpoint,
    checkpoint: isBatch ? run.checkpoint : "",
    cpuMilli: assignment.resources.cpuMilli,
    memoryMb:
      readWork(assignment.work).memoryUsedMb || assignment.resources.memoryMb,
    latencyMs: isBatch ? 0 : run.latencyMs,
  };
}
