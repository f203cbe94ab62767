import type { Clock } from "@laburnumtrack/core/clock";
import { pickOwner } from "@laburnumtrack/core/rendezvous";
import type { RowCache } from "@laburnumtrack/core/row_cache";
import {
  type HeadRow,
  KeyPrefix,
  type PlacerRow,
  Role,
  readRow,
} from "@laburnumtrack/core/rows";
import { Signal } from "@laburnumtrack/core/signal";
import { RunState } from "@laburnumtrack/core/worker";
import type { FileSet } from "@laburnumtrack/core/workload";
import type { Membership } from "@laburnumtrack/peers/membership";
import type { ClusterView } from "@laburnumtrack/policy/cluster_view";
import { Interference } from "@laburnumtrack/policy/interference";
import { type Plan, planPlacement } from "@laburnumtrack/policy/placement_plan";
import { RunEstimates } from "@laburnumtrack/policy/run_estimates";
import { WorkerHealth } from "@laburnumtrack/policy/worker_health";
import type { Configuration } from "@laburnumtrack/process/config_watch";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import {
  createActionEdit,
  createEvictionEdits,
  createPlacementEdits,
} from "./placement_edits";
import { PlacerFence } from "./placer_fence";
import { reconcileWorkers } from "./reconcile_workers";
import { WorkloadReconciler } from "./reconcile_workloads";
import type { EditSink } from "./row_editor";
import type { VmDirectory } from "./vm_directory";
import type { WorkerUpdate } from "./worker_update";

/** Dependencies and settings of a {@linkcode Placer}. */
export interface PlacerOptions {
  readonly clock: Clock;
  readonly cache: RowCache;
  readonly view: ClusterView;
  readonly editor: EditSink;
  readonly membership: Membership;
  readonly vms: VmDirectory;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Returns the configuration in force. */
  readonly configuration: () => Configuration;
  /** Interval between placement rounds. */
  readonly placeMs: number;
  /** Reads one row from the table into the cache. */
  readonly refresh: (key: string) => Promise<void>;
  /** Reads all rows into the cache; false when the table does not answer. */
  readonly refreshAll: () => Promise<boolean>;
}

const PLACEMENTS_PER_ROUND = 64;
// A worker is reserved this long for the workload that an eviction makes room
// for.
const HOLD_MS = 15_000;
// Without changes a round is still made once per this interval.
const IDLE_ROUND_MS = 1000;

/**
 * Places tasks on workers. One scheduler is elected to do so. Correctness does
 * not depend on the election: every transaction checks the placer's row, so
 * those of a scheduler that was replaced have no effect.
 */
export class Placer {
  readonly #options: PlacerOptions;
  readonly #interference = new Interference();
  readonly #estimates = new RunEstimates();
  readonly #health = new WorkerHealth();
  readonly #fence: PlacerFence;
  readonly #workloadReconciler: WorkloadReconciler;
  readonly #wake: Signal;
  /** Workers reserved after evictions: for which workload and until when. */
  readonly #holds = new Map<string, { workload: string; untilMs: number }>();
  #isActive = false;
  /** Versions of the last round's inputs, and monotonic ms of its start. */
  #lastInputs = "";
  #lastRoundMs = Number.NEGATIVE_INFINITY;
  #lastPlan: Plan | undefined;

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#wake = new Signal(options.clock);
    this.#fence = new PlacerFence(options.editor, () => ({
      instance: options.membership.instance,
      version: options.configuration().version,
    }));
    this.#workloadReconciler = new WorkloadReconciler({
      ...options,
      editor: this.#fence,
      health: this.#health,
    });
  }

  /** Whether this scheduler places tasks now. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** The plan of the last round on this scheduler. */
  get lastPlan(): Plan | undefined {
    return this.#lastPlan;
  }

  /** Starts the next round without waiting for the interval. */
  wake(): void {
    this.#wake.set();
  }

  /**
   * Learns from a keeper's update of a worker. On the active placer it also
   * orders remedies against interference.
   */
  onWorkerUpdate(update: WorkerUpdate): void {
    const { clock, view } = this.#options;
    for (const { workload, state, runS } of update.ends) {
      if (state === RunState.Done) {
        this.#health.onDone(update.worker);
        this.#estimates.onDone(workload, runS);
      } else if (state === RunState.Failed) {
        this.#health.onFailed(update.worker, workload, clock.nowMs());
      }
    }
    for (const { workload, cpuMilli, memoryMb } of update.usages) {
      const usage = { cpuMilli, memoryMb, accelerators: 0 };
      this.#estimates.onUsage(workload, usage);
    }
    if (update.ends.length > 0) this.#wake.set();
    const row = view.workers.get(update.worker)?.row;
    if (row === undefined || !this.#isActive) return;
    const { assignments } = row;
    const { worker, runs } = update;
    const remedies = this.#interference.onReport(
      { worker, assignments, runs },
      this.#files,
    );
    for (const remedy of remedies) {
      void this.#fence.edit(createActionEdit(worker, remedy));
      this.#options.metrics.count(`remedies{action="${remedy.action}"}`);
    }
  }

  /** Runs placement rounds until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, placeMs } = this.#options;
    while (!signal.aborted) {
      const startMs = clock.nowMs();
      const isElected = await this.#ensureElected();
      const mayDecide = isElected && (await this.#isOnNewestVersion());
      if (mayDecide && this.#isRoundDue()) await this.#runRound();
      const remainingMs = placeMs - (clock.nowMs() - startMs);
      await this.#wake.wait(Math.max(placeMs / 4, remainingMs));
      // Changes come in bursts: a short delay lets one round handle a burst.
      await clock.sleep(placeMs / 4, signal);
    }
  }

  /** Makes a plan without committing it, which also explains why tasks wait. */
  plan(): Plan {
    const { clock, view } = this.#options;
    const nowMs = clock.nowMs();
    const holds = new Map<string, string>();
    for (const [worker, hold] of this.#holds) {
      if (hold.untilMs <= nowMs) this.#holds.delete(worker);
      else holds.set(worker, hold.workload);
    }
    return planPlacement({
      files: this.#files,
      view,
      interference: this.#interference,
      estimates: this.#estimates,
      health: this.#health,
      evictionCostOf: ({ task }) =>
        this.#workloadReconciler.evictionCostOf(task),
      reservations: holds,
      wallMs: clock.wallMs(),
      nowMs,
      maxPlacements: PLACEMENTS_PER_ROUND,
    });
  }

  get #files(): FileSet {
    return this.#options.configuration().files;
  }

  async #runRound(): Promise<void> {
    const { view, vms, clock, metrics } = this.#options;
    await reconcileWorkers({ editor: this.#fence, view, vms });
    await this.#workloadReconciler.reconcile();
    this.#estimates.retain((workload) => this.#files.jobs.has(workload));
    const startMs = clock.nowMs();
    const plan = this.plan();
    metrics.recordMs("plan", clock.nowMs() - startMs);
    this.#lastPlan = plan;
    const edits = [
      ...createEvictionEdits(plan.evictions),
      ...createPlacementEdits(plan.placements, clock.wallMs()),
    ];
    const untilMs = clock.nowMs() + HOLD_MS;
    for (const { worker, cause } of plan.evictions) {
      this.#holds.set(worker, { workload: cause, untilMs });
    }
    for (const { worker, workload } of plan.placements) {
      const hold = this.#holds.get(worker);
      if (hold?.workload === workload.name) this.#holds.delete(worker);
    }
    const results = await Promise.all(
      edits.map((edit) => this.#fence.edit(edit)),
    );
    const committed = results.filter((result) => result.ok && result.val);
    metrics.count("placer_edits", committed.length);
  }

  /** Whether this scheduler is the placer; if elected, it takes the row. */
  async #ensureElected(): Promise<boolean> {
    const { membership, configuration, vms } = this.#options;
    const live = membership.live(Role.Scheduler);
    const instances = live.map(({ instance }) => instance).sort();
    const isChosen =
      pickOwner("placer", instances) === membership.instance &&
      membership.isFresh &&
      configuration().version > 0 &&
      vms.isKnown;
    if (!isChosen) {
      this.#isActive = false;
      return false;
    }
    if (this.#isActive && this.#holdsRow()) return true;
    this.#isActive = await this.#acquireRow();
    return this.#isActive;
  }

  /**
   * Whether a round is due: an input has changed, or the last round is long
   * ago. Backoffs and time windows end without any input changing.
   */
  #isRoundDue(): boolean {
    const { clock, view, vms, configuration } = this.#options;
    const { version } = configuration();
    const inputs = `${view.changeCount} ${vms.changes} ${version}`;
    const isOverdue = clock.nowMs() - this.#lastRoundMs >= IDLE_ROUND_MS;
    if (inputs === this.#lastInputs && !isOverdue) return false;
    this.#lastInputs = inputs;
    this.#lastRoundMs = clock.nowMs();
    return true;
  }

  /**
   * Whether the configuration in force is the newest. The head row is read at
   * once if the cached one is older, so that urgent work need not wait for the
   * next poll.
   */
  async #isOnNewestVersion(): Promise<boolean> {
    const { configuration, refresh } = this.#options;
    const { version } = configuration();
    if (this.#newestVersion() < version) await refresh(KeyPrefix.Head);
    return this.#newestVersion() === version;
  }

  #newestVersion(): number {
    const row = this.#options.cache.get(KeyPrefix.Head);
    return row === undefined ? 0 : readRow<HeadRow>(row).version;
  }

  #holdsRow(): boolean {
    const row = this.#options.cache.get(KeyPrefix.Placer);
    const holder = row === undefined ? "" : readRow<PlacerRow>(row).instance;
    return holder === this.#options.membership.instance;
  }

  async #acquireRow(): Promise<boolean> {
    const { editor, membership, journal, refreshAll } = this.#options;
    const { instance } = membership;
    // The changes of the previous placer must be known before anything is
    // decided.
    if (!(await refreshAll())) return false;
    const result = await editor.edit({
      keys: [KeyPrefix.Placer],
      apply: (draft) => {
        draft.write(KeyPrefix.Placer, { instance } satisfies PlacerRow);
        return true;
      },
    });
    if (result.ok)
      journal.info(
        "This scheduler was elected placer; it now places the tasks of all workloads.",
      );
    return result.ok;
  }
}
