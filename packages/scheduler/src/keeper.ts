import type { Clock } from "@laburnumtrack/core/clock";
import {
  chunkKeyOf,
  parseTaskName,
  WorkerPhase,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import { Signal } from "@laburnumtrack/core/signal";
import {
  type Assignment,
  type RunReport,
  RunState,
  type SyncReply,
  type Worker,
} from "@laburnumtrack/core/worker";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import type { Membership } from "@laburnumtrack/peers/membership";
import type {
  ClusterView,
  WorkerView,
} from "@laburnumtrack/policy/cluster_view";
import type { Journal } from "@laburnumtrack/process/journal";
import { listExcessUsages } from "./excess_usage";
import {
  createEndpointEdit,
  createLiveEdit,
  createWorkerResetEdit,
} from "./keeper_edits";
import type { RowEditor } from "./row_editor";
import {
  createLateReportEdit,
  createRunEndEdit,
  isLateReport,
  type RunEnd,
} from "./run_end";
import type { VmDirectory } from "./vm_directory";
import { isEnded, type WorkerUpdate } from "./worker_update";

/** Dependencies and times of a {@linkcode Keeper}. */
export interface KeeperOptions {
  readonly clock: Clock;
  readonly worker: Worker;
  readonly view: ClusterView;
  readonly editor: RowEditor;
  readonly membership: Membership;
  readonly vms: VmDirectory;
  readonly journal: Journal;
  /** Length of a worker's lease. */
  readonly leaseMs: number;
  /** Interval between renewals of a lease. */
  readonly renewMs: number;
  /** How long after its last heartbeat a scheduler may still renew leases. */
  readonly rideThroughMs: number;
  /** Largest relative error between two clocks. */
  readonly clockDrift: number;
  /** How long batch tasks of a lost worker wait until placed again. */
  readonly lostGraceMs: number;
  readonly onUpdate: (update: WorkerUpdate) => void;
  /** Reads one row from the table into the cache. */
  readonly refresh: (key: string) => Promise<void>;
}

/**
 * Controls one worker: renews its lease, sends its assignments, records its
 * reports, and ends its tasks once all of them have certainly stopped.
 */
export class Keeper {
  readonly id: string;
  readonly #options: KeeperOptions;
  readonly #wake: Signal;
  /** Last checkpoint that each run has reported. */
  readonly #checkpoints = new Map<string, string>();
  /** Monotonic ms at which each run was first reported as running. */
  readonly #startedMs = new Map<string, number>();
  /** Last report of each run; a worker sends only those that changed. */
  #reports = new Map<string, RunReport>();
  /** Generation of the worker's row that the fields below belong to. */
  #generation = -1;
  /** Whether the worker has accepted this generation and refuses lower ones. */
  #isGenerationAccepted = false;
  /** Time on the worker's clock in its last answer; 0 when there is none. */
  #stampMs = 0;
  /** Instance whose clock gave `#stampMs`; other instances' clocks differ. */
  #stampInstance = "";
  /** Revision of the assignments that the worker has accepted; -1 for none. */
  #acceptedRevision = -1;
  /**
   * Monotonic ms at which the last stamp was received. Each renewal quotes that
   * stamp, so no renewal extends the lease beyond this time plus the lease's
   * length, however late it arrives and however often it is repeated.
   */
  #stampReceivedMs = 0;

  constructor(id: string, options: KeeperOptions) {
    this.id = id;
    this.#options = options;
    this.#wake = new Signal(options.clock);
  }

  /** Sends the next message without waiting for the renewal interval. */
  wake(): void {
    this.#wake.set();
  }

  /** Runs until `signal` is aborted or the worker has another keeper. */
  async run(signal: AbortSignal): Promise<void> {
    const { view, membership, renewMs } = this.#options;
    while (!signal.aborted) {
      const worker = view.workers.get(this.id);
      if (worker === undefined) return;
      if (worker.row.keeper !== membership.instance) return;
      await this.#runOnce(worker);
      if (signal.aborted) return;
      await this.#wake.wait(renewMs);
    }
  }

  async #runOnce(worker: WorkerView): Promise<void> {
    this.#resetForGeneration(worker.row.generation);
    const { instance } = worker.row;
    if (instance !== "" && this.#options.vms.isGone(instance)) {
      await this.#resetWorker(
        worker,
        "The VM is gone from the platform's list; its tasks are placed anew.",
      );
      return;
    }
    // The first message quotes no stamp: it renews nothing and fetches one.
    const reply = await this.#sync(worker);
    if (reply === undefined) {
      await this.#onNoReply(worker);
      return;
    }
    this.#recordStamp(reply);
    if (instance !== "" && reply.instance !== instance) {
      const { instance: newInstance } = reply;
      await this.#resetWorker(
        worker,
        "The worker has restarted; its tasks are placed anew.",
        { instance: newInstance },
      );
      return;
    }
    if (reply.generation > worker.row.generation) {
      await this.#options.refresh(workerKey(this.id));
      return;
    }
    await this.#applyLateReports(worker, reply.runs);
    if (!reply.isRenewed) {
      this.#reports.clear();
      this.#recordReports(reply.runs);
      // The stamp was missing or too old: quote the new one at once.
      this.#wake.set();
      return;
    }
    this.#isGenerationAccepted = true;
    const { phase, former } = worker.row;
    const isNewlyLive = instance === "" || phase === WorkerPhase.Lost;
    // The worker refuses earlier keepers from now on, so that nothing has to
    // wait for their right to renew to end.
    if (isNewlyLive || former.length > 0) await this.#markLive(reply.instance);
    await this.#onReply(worker, reply);
  }

  /** Discards the state of the previous generation when a new one begins. */
  #resetForGeneration(generation: number): void {
    if (generation === this.#generation) return;
    this.#generation = generation;
    this.#isGenerationAccepted = false;
    this.#stampMs = 0;
    this.#stampInstance = "";
    this.#acceptedRevision = -1;
    this.#reports.clear();
    // An earlier keeper may have renewed the lease until its handover.
    this.#stampReceivedMs = this.#options.clock.nowMs();
  }

  async #sync({ row, revision }: WorkerView): Promise<SyncReply | undefined> {
    const { worker, leaseMs } = this.#options;
    if (!this.#mayRenew()) {
      this.#options.journal.warn(
        "No heartbeat took effect within ride_through_ms; the worker's lease is not renewed.",
        { worker: this.id },
      );
      return undefined;
    }
    const isUpToDate = this.#acceptedRevision === revision;
    // A stamp is sent only to the instance that made it: the clock of a
    // restarted worker begins anew, and an old stamp would lie in its future.
    const isSameInstance = row.instance === this.#stampInstance;
    const hasStamp = row.instance === "" || isSameInstance;
    const reply = await worker.sync(row.vm.address, {
      instance: row.instance === "" ? this.#stampInstance : row.instance,
      generation: row.generation,
      stampMs: hasStamp ? this.#stampMs : 0,
      leaseMs,
      revision,
      assignments: isUpToDate ? undefined : row.assignments,
    });
    if (reply.err) return undefined;
    const isAccepted = reply.val.isRenewed && reply.val.revision === revision;
    this.#acceptedRevision = isAccepted ? revision : -1;
    return reply.val;
  }

  #recordStamp({ stampMs, instance }: SyncReply): void {
    if (instance !== this.#stampInstance) this.#reports.clear();
    this.#stampMs = stampMs;
    this.#stampInstance = instance;
    this.#stampReceivedMs = this.#options.clock.nowMs();
  }

  /** Whether the last heartbeat that took effect is recent enough to renew. */
  #mayRenew(): boolean {
    const { clock, membership, rideThroughMs } = this.#options;
    return clock.nowMs() < membership.confirmedMs + rideThroughMs;
  }

  async #onNoReply(worker: WorkerView): Promise<void> {
    if (worker.row.phase === WorkerPhase.Lost) return;
    const lapseMs = this.#leaseLapseMs(worker.row);
    if (lapseMs === undefined) return;
    if (this.#options.clock.nowMs() < lapseMs) return;
    const graceMs = this.#options.lostGraceMs;
    await this.#resetWorker(
      worker,
      "The worker's lease was not renewed and has lapsed; its tasks are placed anew.",
      { graceMs },
    );
  }

  /**
   * Monotonic ms after which the worker holds no lease; undefined while an
   * earlier keeper may still renew it for an unknown time.
   */
  #leaseLapseMs({ former }: WorkerRow): number | undefined {
    const { membership, rideThroughMs, leaseMs, clockDrift } = this.#options;
    let lastRenewalMs = this.#stampReceivedMs;
    // A worker that has accepted this generation refuses the earlier ones.
    for (const instance of this.#isGenerationAccepted ? [] : former) {
      const endsMs = membership.leaseRenewalLimitMs(instance, rideThroughMs);
      if (endsMs === undefined) return undefined;
      lastRenewalMs = Math.max(lastRenewalMs, endsMs);
    }
    return lastRenewalMs + leaseMs * (1 + clockDrift);
  }

  #recordReports(reports: readonly RunReport[]): void {
    for (const report of reports) this.#reports.set(runKey(report), report);
  }

  async #onReply(worker: WorkerView, reply: SyncReply): Promise<void> {
    const ends: RunEnd[] = [];
    const started: RunReport[] = [];
    const isCurrent = reply.revision === worker.revision;
    this.#recordReports(reply.runs);
    for (const assignment of worker.row.assignments) {
      const report = this.#reports.get(runKey(assignment));
      const end = this.#detectEnd(assignment, report, isCurrent);
      if (end !== undefined) ends.push(end);
      else if (report !== undefined) this.#onRunning(report, started);
    }
    this.#reportToPlacer(worker, reply, ends);
    if (started.length > 0) await this.#publishEndpoints(worker, started);
    if (ends.length > 0) await this.#endRuns(ends);
  }

  #detectEnd(
    assignment: Assignment,
    report: RunReport | undefined,
    isCurrent: boolean,
  ): RunEnd | undefined {
    const key = runKey(assignment);
    if (report === undefined) {
      if (!isCurrent) return undefined;
      // The worker has the current assignments and does not know this run.
      const checkpoint = this.#checkpoints.get(key) ?? "";
      return { assignment, state: RunState.Stopped, checkpoint, graceMs: 0 };
    }
    if (report.checkpoint !== "") {
      this.#checkpoints.set(key, report.checkpoint);
    }
    if (!isEnded(report.state)) return undefined;
    const { state, checkpoint } = report;
    return { assignment, state, checkpoint, graceMs: 0 };
  }

  #onRunning(report: RunReport, started: RunReport[]): void {
    const key = runKey(report);
    if (!this.#startedMs.has(key)) {
      this.#startedMs.set(key, this.#options.clock.nowMs());
    }
    if (report.endpoint === "") return;
    const chunk = this.#options.view.chunks.get(chunkKeyOf(report.task));
    const { index } = parseTaskName(report.task);
    const task = chunk?.row.tasks.find((other) => other.index === index);
    if (task?.epoch !== report.epoch) return;
    if (task.endpoint?.address !== report.endpoint) started.push(report);
  }

  async #publishEndpoints(
    worker: WorkerView,
    started: readonly RunReport[],
  ): Promise<void> {
    const { failureDomain } = worker.row.vm;
    await this.#options.editor.edit(createEndpointEdit(started, failureDomain));
  }

  async #endRuns(ends: readonly RunEnd[]): Promise<void> {
    const { clock, editor } = this.#options;
    const edit = createRunEndEdit(this.id, ends, clock.wallMs());
    const result = await editor.edit(edit);
    if (result.err) return;
    for (const { assignment } of ends) {
      this.#checkpoints.delete(runKey(assignment));
      this.#startedMs.delete(runKey(assignment));
      this.#reports.delete(runKey(assignment));
    }
    // The worker may forget the runs once it has the shorter list of them.
    this.#wake.set();
  }

  /** Ends all runs of a worker on which every run has certainly stopped. */
  async #resetWorker(
    worker: WorkerView,
    message: string,
    options: { readonly instance?: string; readonly graceMs?: number } = {},
  ): Promise<void> {
    const { editor, clock, journal } = this.#options;
    const { instance = "", graceMs = 0 } = options;
    const ends = worker.row.assignments.map((assignment) => ({
      assignment,
      state: RunState.Stopped as const,
      checkpoint: this.#checkpoints.get(runKey(assignment)) ?? "",
      graceMs,
    }));
    const { generation } = worker.row;
    const runEndEdit = createRunEndEdit(this.id, ends, clock.wallMs());
    const resetEdit = createWorkerResetEdit(this.id, runEndEdit, {
      generation,
      instance,
    });
    const result = await editor.edit(resetEdit);
    if (result.err || !result.val) return;
    this.#checkpoints.clear();
    journal.warn(message, { worker: this.id, tasks: ends.length });
  }

  /**
   * Records reports of runs that are no longer assigned to the worker: a run
   * that was ended as lost may have completed, or have a newer checkpoint.
   */
  async #applyLateReports(
    { row }: WorkerView,
    runs: readonly RunReport[],
  ): Promise<void> {
    const { view, editor, clock } = this.#options;
    const late = runs.filter((report) => {
      if (row.assignments.some(({ task }) => task === report.task))
        return false;
      const chunk = view.chunks.get(chunkKeyOf(report.task));
      const { index } = parseTaskName(report.task);
      const task = chunk?.row.tasks.find((other) => other.index === index);
      return task !== undefined && isLateReport(task, report);
    });
    if (late.length === 0) return;
    await editor.edit(createLateReportEdit(late, clock.wallMs()));
  }

  async #markLive(instance: string): Promise<void> {
    const { editor, membership } = this.#options;
    const keeper = membership.instance;
    await editor.edit(createLiveEdit(this.id, { keeper, instance }));
  }

  /** Reports to the placer what bears on its decisions, if anything does. */
  #reportToPlacer(
    { row }: WorkerView,
    { runs }: SyncReply,
    ends: readonly RunEnd[],
  ): void {
    const hasBatch = row.assignments.some(
      ({ kind }) => kind === WorkloadKind.Job,
    );
    const services = runs.filter(({ latencyMs }) => latencyMs > 0);
    const isColocated = hasBatch && services.length > 0;
    const usages = listExcessUsages(row, runs);
    if (ends.length === 0 && usages.length === 0 && !isColocated) return;
    const nowMs = this.#options.clock.nowMs();
    this.#options.onUpdate({
      worker: this.id,
      runs: isColocated ? services : [],
      usages,
      ends: ends.map(({ assignment, state }) => {
        const startMs = this.#startedMs.get(runKey(assignment)) ?? nowMs;
        const { workload } = parseTaskName(assignment.task);
        return { workload, state, runS: (nowMs - startMs) / 1000 };
      }),
    });
  }
}

function runKey({
  task,
  epoch,
}: {
  readonly task: string;
  readonly epoch: number;
}): string {
  return `${task}@${epoch}`;
}
