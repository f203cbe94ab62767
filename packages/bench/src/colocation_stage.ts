import {
  chunkKey,
  chunkKeysOf,
  createTask,
  KeyPrefix,
  parseTaskName,
  TASKS_PER_CHUNK,
  type TaskRow,
  WorkerPhase,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import { VmPhase } from "@laburnumtrack/core/vm_list";
import {
  Action,
  type Assignment,
  type RunReport,
  RunState,
} from "@laburnumtrack/core/worker";
import {
  type FileSet,
  type Job,
  type Service,
  WorkloadKind,
} from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import { ClusterView } from "@laburnumtrack/policy/cluster_view";
import { Draft, type Edit } from "@laburnumtrack/scheduler/row_editor";
import {
  createRunEndEdit,
  type RunEnd,
} from "@laburnumtrack/scheduler/run_end";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import type { Profile } from "./profile";
import { LatencyHistogram } from "./report";

/** Work that a resumed task does again, in s. */
const RESUME_COST_S = 5;
const REPORT_LAG_S = 2;
const THROTTLED_SPEED = 0.5;
const THROTTLED_NOISE = 0.25;
const SAMPLES = 4;
const CHECKPOINT_EVERY_S = 30;
const RUN_SPREAD = 0.4;

/** How a batch job behaves in truth; the scheduler only sees reports. */
export interface JobTruth {
  readonly runS: number;
  /** How much one task slows a service beside it, at full load. */
  readonly harm: number;
}

/** What a worker reports, as the scheduler gets it. */
export interface StageReport {
  readonly worker: string;
  readonly assignments: readonly Assignment[];
  readonly runs: readonly RunReport[];
}

interface Running {
  doneS: number;
  readonly needS: number;
}

/** Services and batch tasks on shared workers, second by second. */
export class ColocationStage {
  readonly view = new ClusterView();
  readonly latencies = new LatencyHistogram();
  readonly dice: SeededRandom;
  files: FileSet;
  nowS = 0;
  /** Load of the services, from 0 to 1. */
  load = 0.5;
  /** Workers on which batch tasks are noisier than usual. */
  readonly noisy = new Set<string>();
  tasksDone = 0;
  doneInWindow = 0;
  evictions = 0;
  lostWorkS = 0;
  usefulCoreS = 0;
  readonly #profile: Profile;
  readonly #truths: ReadonlyMap<string, JobTruth>;
  readonly #rows = new Map<string, string>();
  readonly #running = new Map<string, Running>();
  readonly #saved = new Map<string, number>();
  readonly #late: { readonly atS: number; readonly report: StageReport }[] = [];
  #revision = 0;

  constructor(
    profile: Profile,
    options: {
      readonly seed: number;
      readonly filesText: string;
      readonly truths: ReadonlyMap<string, JobTruth>;
    },
  ) {
    this.#profile = profile;
    this.dice = new SeededRandom(options.seed);
    this.#truths = options.truths;
    const sources = [{ file: "bench.ini", text: options.filesText }];
    this.files = readFileSet(sources).unwrap();
    for (let at = 0; at < profile.workers; at += 1) this.#addWorker(at);
    for (const service of this.files.services.values()) {
      this.#addTasks(service, service.replicas);
    }
    for (const job of this.files.jobs.values()) this.#addTasks(job, job.tasks);
  }

  /** Applies an edit to the rows; false when it did not apply. */
  apply(edit: Edit): boolean {
    const draft = new Draft(this.#rows);
    if (!edit.apply(draft)) return false;
    for (const [key, value] of draft.changes) this.#write(key, value);
    return true;
  }

  /** Lets one second pass; returns reports that are due. */
  step(): StageReport[] {
    this.nowS += 1;
    for (const { id, row } of [...this.view.workers.values()]) {
      this.#stepWorker(id, row);
    }
    const due = this.#late.filter(({ atS }) => atS <= this.nowS);
    this.#late.splice(0, due.length);
    return due.map(({ report }) => report);
  }

  /** A worker is gone, with all that ran there. */
  loseWorker(id: string): void {
    const key = workerKey(id);
    const row = JSON.parse(this.#rows.get(key) ?? "{}") as WorkerRow;
    const ends = row.assignments.map((assignment) =>
      this.#endOf(id, assignment, RunState.Stopped),
    );
    this.apply(createRunEndEdit(id, ends, this.nowS * 1000));
    this.#write(key, "");
  }

  /** Takes a job out, as an operator does; its running tasks end. */
  cancel(name: string): void {
    const jobs = new Map(this.files.jobs);
    const job = jobs.get(name);
    if (job === undefined) return;
    jobs.delete(name);
    this.files = { ...this.files, jobs };
    for (const { id, row } of [...this.view.workers.values()]) {
      const ends: RunEnd[] = [];
      for (const assignment of row.assignments) {
        if (parseTaskName(assignment.task).workload !== name) continue;
        ends.push(this.#endOf(id, assignment, RunState.Stopped));
      }
      if (ends.length > 0) this.apply(createRunEndEdit(id, ends, 0));
    }
    for (const key of chunkKeysOf(name, job.tasks)) this.#write(key, "");
  }

  /** Core-seconds of work that still runs; it is not lost at the end. */
  runningCoreS(): number {
    let coreS = 0;
    for (const { row } of this.view.workers.values()) {
      for (const { task, epoch, resources } of row.assignments) {
        const running = this.#running.get(`${task}@${epoch}`);
        coreS += ((running?.doneS ?? 0) * resources.cpuMilli) / 1000;
      }
    }
    return coreS;
  }

  /** Core-seconds that batch could have had so far, with services placed. */
  batchCoreS(): number {
    const { workers } = this.#profile;
    let serviceCores = 0;
    for (const { replicas, resources } of this.files.services.values()) {
      serviceCores += (replicas * resources.cpuMilli) / 1000;
    }
    return (workers * 16 - serviceCores) * this.nowS;
  }

  #stepWorker(id: string, row: WorkerRow): void {
    const noise = this.#noiseOn(id, row.assignments);
    const runs: RunReport[] = [];
    const ends: RunEnd[] = [];
    for (const assignment of row.assignments) {
      if (assignment.kind === WorkloadKind.Service) {
        runs.push(this.#serve(assignment, noise));
        continue;
      }
      const end = this.#work(id, assignment);
      if (end !== undefined) ends.push(end);
    }
    const report = { worker: id, assignments: row.assignments, runs };
    this.#late.push({ atS: this.nowS + REPORT_LAG_S, report });
    if (ends.length === 0) return;
    this.apply(createRunEndEdit(id, ends, this.nowS * 1000));
  }

  #noiseOn(id: string, assignments: readonly Assignment[]): number {
    const factor = this.noisy.has(id) ? 3 : 1;
    let noise = 0;
    for (const { task, kind, action } of assignments) {
      if (kind !== WorkloadKind.Job) continue;
      const truth = this.#truths.get(parseTaskName(task).workload);
      const share = action === Action.Throttle ? THROTTLED_NOISE : 1;
      noise += (truth?.harm ?? 0) * share;
    }
    return noise * factor * this.load;
  }

  #serve(assignment: Assignment, noise: number): RunReport {
    let worst = 0;
    for (let at = 0; at < SAMPLES; at += 1) {
      const ms = this.#profile.answerMs * this.#spread(0.35) * (1 + noise);
      this.latencies.record(ms);
      worst = Math.max(worst, ms);
    }
    return createReport(assignment, worst);
  }

  #work(id: string, assignment: Assignment): RunEnd | undefined {
    const key = `${assignment.task}@${assignment.epoch}`;
    const { workload } = parseTaskName(assignment.task);
    let running = this.#running.get(key);
    if (running === undefined) {
      const runS = this.#truths.get(workload)?.runS ?? 10;
      const from = Number(assignment.checkpoint || "0");
      const isResumed = from > 0;
      const needS = runS * this.#spread(RUN_SPREAD);
      running = { doneS: isResumed ? from - RESUME_COST_S : 0, needS };
      if (isResumed) this.lostWorkS += RESUME_COST_S;
      this.#running.set(key, running);
    }
    const isThrottled = assignment.action === Action.Throttle;
    running.doneS += isThrottled ? THROTTLED_SPEED : 1;
    if (running.doneS % CHECKPOINT_EVERY_S < 1) {
      this.#saved.set(assignment.task, running.doneS);
    }
    if (running.doneS >= running.needS) {
      this.#onDone(workload, assignment, running.needS);
      return this.#endOf(id, assignment, RunState.Done);
    }
    if (assignment.action !== Action.Evict) return undefined;
    this.evictions += 1;
    this.#saved.set(assignment.task, running.doneS);
    return this.#endOf(id, assignment, RunState.Stopped);
  }

  #onDone(workload: string, assignment: Assignment, needS: number): void {
    this.tasksDone += 1;
    this.usefulCoreS += (needS * assignment.resources.cpuMilli) / 1000;
    const finishByMs = this.files.jobs.get(workload)?.finishByMs ?? 0;
    const isInWindow = finishByMs === 0 || this.nowS * 1000 <= finishByMs;
    if (isInWindow) this.doneInWindow += 1;
  }

  #endOf(
    _worker: string,
    assignment: Assignment,
    state: RunState.Done | RunState.Stopped,
  ): RunEnd {
    const key = `${assignment.task}@${assignment.epoch}`;
    const saved = this.#saved.get(assignment.task) ?? 0;
    const doneS = this.#running.get(key)?.doneS ?? 0;
    if (state === RunState.Stopped)
      this.lostWorkS += Math.max(0, doneS - saved);
    this.#running.delete(key);
    const checkpoint = saved > 0 ? String(saved) : "";
    return { assignment, state, checkpoint, graceMs: 0 };
  }

  /** A factor around 1 with a long tail. */
  #spread(sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(this.dice.fraction() + 1e-9));
    const normal = radius * Math.cos(2 * Math.PI * this.dice.fraction());
    return Math.exp(sigma * normal - sigma ** 2 / 2);
  }

  #addWorker(at: number): void {
    const { failureDomains } = this.#profile;
    const id = `vm-${String(at).padStart(2, "0")}`;
    const domain = at % failureDomains;
    const row: WorkerRow = {
      vm: {
        id,
        instance: id,
        address: id,
        rack: `rack-${domain}-${Math.floor(at / failureDomains / 8)}`,
        failureDomain: `d${domain}`,
        capacity: { cpuMilli: 16_000, memoryMb: 61_440, accelerators: 0 },
        phase: VmPhase.Live,
      },
      instance: id,
      phase: WorkerPhase.Live,
      keeper: "bench",
      generation: 1,
      former: [],
      assignments: [],
    };
    this.#write(KeyPrefix.Worker + id, JSON.stringify(row));
  }

  #addTasks({ name }: Service | Job, count: number): void {
    for (let first = 0; first < count; first += TASKS_PER_CHUNK) {
      const chunk = first / TASKS_PER_CHUNK;
      const length = Math.min(TASKS_PER_CHUNK, count - first);
      const tasks = Array.from({ length }, (_, at) => createTask(first + at));
      const row: TaskRow = { workload: name, since: 1, chunk, tasks };
      this.#write(chunkKey(name, chunk), JSON.stringify(row));
    }
  }

  #write(key: string, value: string): void {
    this.#revision += 1;
    if (value === "") this.#rows.delete(key);
    else this.#rows.set(key, value);
    this.view.onRow({ key, revision: this.#revision, value });
  }
}

function createReport(assignment: Assignment, latencyMs: number): RunReport {
  return {
    task: assignment.task,
    epoch: assignment.epoch,
    state: RunState.Running,
    endpoint: "",
    checkpoint: "",
    cpuMilli: assignment.resources.cpuMilli,
    memoryMb: assignment.resources.memoryMb,
    latencyMs,
  };
}
