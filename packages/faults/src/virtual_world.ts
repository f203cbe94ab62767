import {
  type HeadRow,
  KeyPrefix,
  Role,
  taskName,
} from "@laburnumtrack/core/rows";
import type { Row } from "@laburnumtrack/core/table";
import { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { type Vm, VmPhase } from "@laburnumtrack/core/vm_list";
import type { FileSet } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import type { Configuration } from "@laburnumtrack/process/config_watch";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import {
  Scheduler,
  type SchedulerTimes,
} from "@laburnumtrack/scheduler/scheduler";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import { History } from "@laburnumtrack/standins/history";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { eventKindOf } from "@laburnumtrack/standins/platform_standin";
import {
  ProcessClock,
  VirtualClock,
} from "@laburnumtrack/standins/virtual_clock";
import {
  VirtualTable,
  VirtualVmList,
  VirtualWorkers,
} from "@laburnumtrack/standins/virtual_ports";
import { WorkerStandin } from "@laburnumtrack/standins/worker_standin";
import type { RunRecord } from "./run_record";
import { checkTasks } from "./task_check";

/** Virtual time at which the first tasks are placed and faults may begin. */
const STARTUP_MS = 17_000;
/** Virtual time after which no fault is injected. */
const FAULTS_END_MS = 60_000;
/** Virtual time at which a run ends even if tasks are not done. */
const SETTLE_END_MS = 180_000;
/** Message delay of a slow link, which exceeds the time limit of its calls. */
const SLOW_DELAY_MS = 3000;
/** Time that a pushed row takes to arrive. */
const PUSH_DELAY_MS = 4;
const WORKERS_PER_RACK = 8;

/** Timing settings of the schedulers in a virtual world. */
export const VIRTUAL_TIMES: SchedulerTimes = {
  beatMs: 1000,
  deadAfterMs: 3000,
  leaseMs: 4000,
  renewMs: 1000,
  rideThroughMs: 16_000,
  placeMs: 200,
  clockDrift: 0.01,
  lostGraceMs: 500,
};

/** Workload and size of a virtual world. */
export interface VirtualWorkload {
  readonly tasks: number;
  /** Duration of a task in ms. */
  readonly runMs: number;
  /** Options appended to the `work` text of the job. */
  readonly workOptions?: string;
  readonly workers?: number;
  readonly schedulers?: number;
  /** Whether schedulers push rows to each other; otherwise they only poll. */
  readonly hasPushes?: boolean;
}

/** A scheduler with its own clock and its links to the table and workers. */
export interface Peer {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly table: VirtualTable;
  readonly workers: VirtualWorkers;
  readonly scheduler: Scheduler;
  /** Configuration in force on this scheduler. */
  configuration: Configuration;
}

/** Real schedulers with stand-ins for workers and table, in virtual time. */
export class VirtualWorld {
  readonly clock = new VirtualClock();
  readonly history = new History(this.clock);
  readonly platform = new History(this.clock);
  readonly workers = new Map<string, WorkerStandin>();
  readonly peers: Peer[] = [];
  readonly table = new MemoryTable();
  readonly #dice: SeededRandom;
  readonly #taskCount: number;
  readonly #pushesRows: boolean;
  readonly #fileSet: FileSet;
  #vms: Vm[] = [];
  /** Whether the table answers requests. */
  isStoreUp = true;
  #lastId = 0;

  constructor(seed: number, work: VirtualWorkload) {
    this.#dice = new SeededRandom(seed);
    this.#taskCount = work.tasks;
    this.#fileSet = createFiles(work);
    this.table.onCommit = ({ writes }) => {
      for (const { key, value } of writes) {
        const kind = eventKindOf(key);
        if (kind === undefined) continue;
        const detail = value ?? "";
        this.platform.add({ kind, place: key, subject: "", epoch: 0, detail });
      }
    };
    this.setHead(1);
    this.#pushesRows = work.hasPushes ?? false;
    for (let index = 0; index < (work.workers ?? 4); index += 1) {
      this.#addWorker(`vm-${index}`, Math.floor(index / WORKERS_PER_RACK));
    }
    for (let index = 0; index < (work.schedulers ?? 3); index += 1) {
      this.#addScheduler(`s-${index}`);
    }
  }

  /** Starts the schedulers and lets them place the first tasks. */
  async start(): Promise<void> {
    for (const { scheduler } of this.peers) void scheduler.run();
    await this.clock.run(STARTUP_MS);
  }

  /** Advances time until all tasks are done or `SETTLE_END_MS` is reached. */
  async settle(): Promise<void> {
    while (!this.#isAllDone() && this.clock.nowMs() < SETTLE_END_MS) {
      await this.clock.run(this.clock.nowMs() + 1000);
    }
  }

  /** Injects faults, sometimes two at once, until `FAULTS_END_MS`, then settles. */
  async runFaults(): Promise<void> {
    await this.start();
    while (this.clock.nowMs() < FAULTS_END_MS) {
      this.#injectFault();
      if (this.#dice.chance(0.4)) this.#injectFault();
      const nextMs = this.clock.nowMs() + this.#dice.between(200, 5000);
      await this.clock.run(nextMs);
    }
    await this.settle();
  }

  /** Commits a configuration version. */
  setHead(version: number): void {
    const head: HeadRow = {
      version,
      applyId: `apply-${version}`,
      object: "",
      appliedAtMs: 0,
    };
    this.table.commitNow({
      checks: [],
      writes: [{ key: KeyPrefix.Head, value: JSON.stringify(head) }],
    });
  }

  /** What the stand-ins recorded. */
  record(): RunRecord {
    const expectedTasks: string[] = [];
    for (let index = 0; index < this.#taskCount; index += 1) {
      expectedTasks.push(taskName("work", index));
    }
    return {
      workers: this.history.list(),
      platform: this.platform.list(),
      calls: [],
      observations: [],
      applies: [],
      inconsistencies: [],
      exemptions: [],
      plannedStops: [],
      departures: [],
      expectedTasks,
      capacities: new Map(this.#vms.map((vm) => [vm.id, vm.capacity])),
    };
  }

  #injectFault(): void {
    const dice = this.#dice;
    const peer = dice.pick(this.peers);
    const durationMs = dice.between(500, 20_000);
    const revertLater = (revert: () => void) =>
      this.clock.at(this.clock.nowMs() + durationMs, revert);
    const worker = dice.pick([...this.workers.values()]);
    const faults: readonly (() => void)[] = [
      () => peer.clock.freeze(durationMs),
      () => {
        this.isStoreUp = false;
        revertLater(() => {
          this.isStoreUp = true;
        });
      },
      () => {
        peer.table.link.faults.isCut = true;
        revertLater(() => {
          peer.table.link.faults.isCut = false;
        });
      },
      () => {
        peer.table.link.faults.lostAnswers = 0.4;
        revertLater(() => {
          peer.table.link.faults.lostAnswers = 0;
        });
      },
      () => {
        peer.table.link.faults.delayMs = 600;
        revertLater(() => {
          peer.table.link.faults.delayMs = 5;
        });
      },
      () => {
        peer.workers.link.faults.delayMs = SLOW_DELAY_MS;
        this.recordReachability();
        revertLater(() => {
          peer.workers.link.faults.delayMs = 5;
          this.recordReachability();
        });
      },
      () => {
        peer.workers.cutOff.add(worker.id);
        this.recordReachability();
        revertLater(() => {
          peer.workers.cutOff.delete(worker.id);
          this.recordReachability();
        });
      },
      () => {
        // One scheduler loses the table but still reaches all workers; the
        // others cannot reach one worker.
        peer.table.link.faults.isCut = true;
        const others = this.peers.filter((other) => other !== peer);
        for (const { workers } of others) workers.cutOff.add(worker.id);
        this.recordReachability();
        revertLater(() => {
          peer.table.link.faults.isCut = false;
          for (const { workers } of others) workers.cutOff.delete(worker.id);
          this.recordReachability();
        });
      },
      () => worker.restart(),
      () => {
        worker.failsAll = true;
        revertLater(() => {
          worker.failsAll = false;
        });
      },
    ];
    dice.pick(faults)();
  }

  /** Has each worker record which schedulers cannot reach it. */
  recordReachability(): void {
    for (const worker of this.workers.values()) {
      const cut = this.peers.filter(
        ({ workers }) =>
          workers.cutOff.has(worker.id) ||
          workers.link.faults.delayMs === SLOW_DELAY_MS,
      );
      worker.setCutOff(cut.map(({ name }) => name));
    }
  }

  #isAllDone(): boolean {
    const { workers, platform, expectedTasks: expected } = this.record();
    return checkTasks({ workers, platform, expected }).tasksLost === 0;
  }

  #addWorker(id: string, rack: number): void {
    const worker = new WorkerStandin(id, this.history, this.clock);
    this.workers.set(id, worker);
    this.#vms.push({
      id,
      instance: "listed",
      address: id,
      rack: `rack-${rack}`,
      failureDomain: "d",
      capacity: { cpuMilli: 16_000, memoryMb: 60_000, accelerators: 0 },
      phase: VmPhase.Live,
    });
  }

  #push(sender: Peer, rows: readonly Row[]): void {
    if (!this.#pushesRows) return;
    for (const peer of this.peers) {
      if (peer === sender) continue;
      const arriveMs = this.clock.nowMs() + PUSH_DELAY_MS;
      this.clock.at(arriveMs, () => peer.scheduler.onPushedRows(rows));
    }
  }

  #pushTo(instance: string, row: Row): void {
    if (!this.#pushesRows) return;
    const peer = this.peers.find(
      ({ scheduler }) => scheduler.membership.instance === instance,
    );
    const arriveMs = this.clock.nowMs() + PUSH_DELAY_MS;
    this.clock.at(arriveMs, () => peer?.scheduler.onPushedRows([row]));
  }

  #addScheduler(name: string): void {
    const clock = new ProcessClock(this.clock);
    const options = { network: this.clock, clock, dice: this.#dice };
    const table = new VirtualTable(this.table, () => this.isStoreUp, options);
    const workers = new VirtualWorkers(this.workers, options);
    const ids = () => {
      this.#lastId += 1;
      return `${name}-${this.#lastId}`;
    };
    const inForce = {
      configuration: { version: 1, text: "[]", files: this.#fileSet },
    };
    const scheduler = new Scheduler({
      clock,
      table,
      vmList: new VirtualVmList(() => this.#vms),
      worker: workers,
      ring: new TokenCommitter(table, clock, ids),
      journal: createJournal("test", "fatal"),
      metrics: new Metrics(),
      self: {
        name,
        role: Role.Scheduler,
        failureDomain: "d",
        peerAddress: name,
        adminAddress: name,
      },
      times: VIRTUAL_TIMES,
      configuration: () => peer.configuration,
      ids,
      onCommitted: (rows) => this.#push(peer, rows),
      pushRow: (instance, row) => this.#pushTo(instance, row),
      onMembersChanged: () => {},
      onReplaced: () => {
        throw new Error(
          `scheduler ${name} was replaced; names are unique here`,
        );
      },
    });
    const peer: Peer = { name, clock, table, workers, scheduler, ...inForce };
    this.peers.push(peer);
  }
}

function createFiles({
  tasks,
  runMs,
  workOptions = "",
}: VirtualWorkload): FileSet {
  const text = `
[team t]
cpu_cores = 1000
memory_mb = 100000000
[job work]
team = t
tasks = ${tasks}
cpu_cores = 3
memory_mb = 1000
retries = 100
work = run_ms=${runMs} ${workOptions}
`;
  return readFileSet([{ file: "test.ini", text }]).unwrap();
}
